#!/usr/bin/env bash
# Plants faults in a scratch copy of the cores, one at a time, and shows that
# the tests of the package fail for each. Ends with status 1 if one isn't
# caught. Not part of the CI.
set -uo pipefail
cd "$(dirname "$0")/.."

copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$copy"
cd "$copy" || exit 2

# An argument runs only the faults whose names begin with it.
only=${1:-}
caught=0
missed=0

# try PACKAGE: runs its tests.
try() {
	local flags=()
	grep -q pgregory.net/rapid "$1"/*_test.go && flags=(-rapid.shrinktime=1s)
	go test -count=1 -timeout 60s "./$1" "${flags[@]}" >test.log 2>&1
}

for package in claimer deduper reclaimer quarantiner drainer outcomer; do
	try "$package" || {
		printf 'the tests of %s fail without a fault\n' "$package"
		exit 2
	}
done

# plant NAME FILE FROM TO: replaces the text FROM, which must stand in FILE
# once, and runs the tests of FILE's package.
plant() {
	local name=$1 file=$2
	[[ "$name" == "$only"* ]] || return
	cp "$file" "$file.sound"
	if ! FROM=$3 TO=$4 perl -0pi -e 'my $n = s/\Q$ENV{FROM}\E/$ENV{TO}/g; END { exit($n == 1 ? 0 : 1) }' "$file"; then
		printf 'stale   %-58s %s\n' "$name" "$file"
		missed=$((missed + 1))
	elif ! go build "./$(dirname "$file")" 2>build.log; then
		printf 'broken  %-58s %s\n' "$name" "$(tail -1 build.log)"
		missed=$((missed + 1))
	elif try "$(dirname "$file")"; then
		printf 'MISSED  %-58s %s\n' "$name" "$file"
		missed=$((missed + 1))
	else
		printf 'caught  %-58s %s\n' "$name" "$(grep -m1 -oE -e '--- FAIL: .*|panic: .*' test.log)"
		caught=$((caught + 1))
	fi
	mv "$file.sound" "$file"
}

plant "claimer: failed swap counts as written" claimer/append.go \
	'if e.Done {' 'if true {'
plant "claimer: lost reply counts as written" claimer/calls.go \
	'c.startList(now, callSlot, slotKey(c.shard, c.replica.slotOf(done.segment.Number)))' 'c.replica.applySegment(done.segment, 0); c.answerDecided(now)'
plant "claimer: found claim is granted to any holder" claimer/claimer.go \
	'case holder == p.claim.Holder:' 'case holder == p.claim.Holder || holder.VM != "" && holder.VM == p.claim.Holder.VM:'
plant "claimer: base is dropped before its time" claimer/compact.go \
	'old.Number != 0 && !old.isExpired(now)' 'old.Number == 0 && false'
plant "claimer: claims are forgotten within retention" claimer/limits.go \
	'forgetAfter = Retention + 2*MaxClockSkew' 'forgetAfter = Retention / 2'
plant "claimer: expired keys are claimed again" claimer/claimer.go \
	'return now.Sub(minted) > Retention || minted.Sub(now) > MaxClockSkew' 'return false'
plant "claimer: new leader reads no bases" claimer/load.go \
	'l.replica.addBase(b, entry.Version)' 'l.replica.dropSegments(b.Through)'
plant "claimer: asks stay without an answer" claimer/claimer.go \
	'c.answer(p, VerdictUnavailable, ReasonTimeout)' 'kept = append(kept, p)'

plant "deduper: token of another attempt is written" deduper/attempt.go \
	'r.phase == phaseRunning && r.attempt == attempt && r.reader == reader' 'r.phase == phaseRunning'
plant "deduper: repeated token is written" deduper/attempt.go \
	'!r.isCurrent(e.Attempt, e.Reader) || r.nextToken != e.Index' '!r.isCurrent(e.Attempt, e.Reader)'
plant "deduper: earlier connection is left open" deduper/deduper.go \
	'	c.closeWriter(r)
	c.setWriter(r, w)' '	c.setWriter(r, w)'
plant "deduper: VM yields without closing its writer" deduper/attempt.go \
	'	c.closeWriter(r)
	switch {
	case r.phase == phaseRunning && r.hasStream() && !e.Discard:' '	switch {
	case r.phase == phaseRunning && r.hasStream() && !e.Discard:'
plant "deduper: lost payment is sent again" deduper/attempt.go \
	'mayRepeat := r.repeatable || e.Ran == outcomer.RanNo' 'mayRepeat := true'
plant "deduper: request without a caller is kept" deduper/deduper.go \
	'c.setDue(r, now.Add(RepeatableGrace))' 'break'
plant "deduper: home answers before the other VM has yielded" deduper/home.go \
	'h.orderYield(now, r, a)' 'h.orderYield(now, r, a); h.handOver(now, r, a, true)'
plant "deduper: attempt begins again at token 0" deduper/request.go \
	'c.lastReader, 0, Place{}, r.nextToken, len(r.parts)' 'c.lastReader, 0, Place{}, 0, len(r.parts)'

plant "reclaimer: late answer disowns a newer use" reclaimer/hold.go \
	'if q.round < h.firstRound {' 'if false {'
plant "reclaimer: silent VM counts as one that disowns" reclaimer/reclaimer.go \
	'len(h.waiting) > 0 && c.isSilentTooLong(now, e, h)' 'len(h.waiting) > 0'
plant "reclaimer: reads are not looked at" reclaimer/reclaimer.go \
	' && now.Sub(h.readChangedAt) >= patience' ''
plant "reclaimer: stream that is read is released" reclaimer/reclaimer.go \
	' && !h.wasReadRecently(now, e)' ''
plant "reclaimer: only the first VM is asked" reclaimer/hold.go \
	'vms := slices.Clone(c.live)' 'vms := []identifier.VM{h.id.VM}'
plant "reclaimer: disowned hold is never released" reclaimer/reclaimer.go \
	'!h.wasReadRecently(now, e) {
		c.release(now, e, h)' '!h.wasReadRecently(now, e) {
		h.stage = stageVouched'
plant "reclaimer: release is sent once" reclaimer/canceller.go \
	'	if e.Done {
		c.remove(r)' '	if true {
		c.remove(r)'

plant "quarantiner: marks are not told" quarantiner/spread.go \
	'if len(marks) == 0 {' 'if true {'
plant "quarantiner: marks are told once" quarantiner/spread.go \
	'if now.Before(r.at) {' 'if true {'
plant "quarantiner: guard lets all suspects in" quarantiner/guard.go \
	'Allowed: free' 'Allowed: true'
plant "quarantiner: one death convicts" quarantiner/quarantiner.go \
	'deathsToConvict = 2' 'deathsToConvict = 1'
plant "quarantiner: prefill and decode deaths count as two" quarantiner/suspect.go \
	'm.State == state && !slices.Contains(attempts, m.AttemptID)' 'm.State == state'
plant "quarantiner: connection that was lost stays a death" quarantiner/suspect.go \
	'm := s.markFor(d).withState(fingerprint, StateAlive)' 'm := s.markFor(d).withState(fingerprint, StateDied)'
plant "quarantiner: whole answer clears nothing" quarantiner/quarantiner.go \
	'c.clearSuspect(now, r.fingerprint)' ''
plant "quarantiner: conviction lasts for ever" quarantiner/suspect.go \
	'if now.Sub(s.lastMarked) >= SuspicionLifetime {' 'if false {'

plant "drainer: exit with open streams" drainer/drainer.go \
	'return !c.idleSince.IsZero() && (' 'return ('
plant "drainer: streams are cut at the notice" drainer/drainer.go \
	'now.Sub(c.signalledAt) >= c.cfg.Limit {' 'now.Sub(c.signalledAt) >= c.cfg.Notice {'
plant "drainer: cut is not counted" drainer/drainer.go \
	'phaseCutting, now, c.work.Streams' 'phaseCutting, now, 0'

plant "outcomer: unknown failure is told as not run" outcomer/lost.go \
	'case driver.KindNotRun, driver.KindFull, driver.KindLeaving:' 'case driver.KindNotRun, driver.KindFull, driver.KindLeaving, driver.KindGone:'
plant "outcomer: later refusal denies an earlier run" outcomer/following.go \
	'if earlier == RanNo || earlier == "" {' 'if true {'

printf '%d caught, %d missed\n' "$caught" "$missed"
[ "$missed" -eq 0 ]
