package claimer

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
	"github.com/google/uuid"

	"github.com/figtrack/figtrack/identifier"
)

// Shard is the number of a part of the keys, from 0. Each shard has its own
// log and leader.
type Shard uint32

// uuidv7 is the version of UUIDs that begin with a timestamp.
const uuidv7 = 7

// Identify returns the identity of a request. The argument request is the
// method, the path and the body as the entry VM received them, in this order.
func Identify(workspace identifier.Workspace, key identifier.Request, request []byte) Identity {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s%s", len(workspace), workspace, key)
	var id Identity
	copy(id.Key[:], h.Sum(nil))
	sum := sha256.Sum256(request)
	id.Body = Body(binary.BigEndian.Uint64(sum[:8]))
	id.Minted = mintedTime(key)
	return id
}

// mintedTime returns the time that a UUIDv7 key contains, or zero for any
// other key.
func mintedTime(key identifier.Request) time.Time {
	id, err := uuid.Parse(string(key))
	if err != nil || id.Version() != uuidv7 {
		return time.Time{}
	}
	return time.Unix(id.Time().UnixTime())
}

// ShardOf returns the shard that records a key.
func ShardOf(key Key) Shard {
	return Shard(binary.BigEndian.Uint64(key[:8]) % ShardCount)
}

// Leaders returns at most n VMs that should lead a shard, best first. They are
// only a hint: a wrong one costs time but never causes a second run.
func Leaders(shard Shard, live []identifier.VM, n int) []identifier.VM {
	names := make([]string, len(live))
	for i, vm := range live {
		names[i] = string(vm)
	}
	var leaders []identifier.VM
	for len(leaders) < n && len(names) > 0 {
		best := rendezvous.New(names, xxhash.Sum64String).Lookup(fmt.Sprintf("Claims/%d", shard))
		leaders = append(leaders, identifier.VM(best))
		names = slices.DeleteFunc(names, func(name string) bool { return name == best })
	}
	return leaders
}

func shardPrefix(shard Shard) string { return fmt.Sprintf("Claims/%d/", shard) }

func logPrefix(shard Shard) string { return shardPrefix(shard) + "Log/" }

func slotKey(shard Shard, slot int) string {
	return fmt.Sprintf("%s%06d", logPrefix(shard), slot)
}

func basePrefix(shard Shard, group int) string {
	return fmt.Sprintf("%sBase/%03d/", shardPrefix(shard), group)
}

func baseKey(shard Shard, slot int) string {
	return fmt.Sprintf("%s%d", basePrefix(shard, slot/BaseGroup), slot%BaseGroup)
}
