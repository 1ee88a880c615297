package outcomer

import "net/http"

// Answered means that the caller received the whole answer.
type Answered struct{ sealed }

// CallerGone means that the caller closed the connection before the answer was
// complete.
type CallerGone struct{ sealed }

// TakenOver ends the earlier connection of a caller that has connected again
// with the same key.
type TakenOver struct{ sealed }

func describeAnswered(o Outcome) (Row, bool) {
	switch o.(type) {
	case Answered:
		return newRow(http.StatusOK, "Answered", RanYes,
			"The answer is whole.", "Nothing.")
	case CallerGone:
		return newRow(StatusClientClosed, "CallerGone", RanUnknown,
			"The caller closed the connection. Only logged, never sent.",
			"A repeatable request: send it again with the same key, which joins the running answer. Another: the key is spent, ask the service what happened.")
	case TakenOver:
		return newRow(http.StatusConflict, "TakenOver", RanUnknown,
			"A later connection with the same key gets the answer.", "Nothing; read the later connection.")
	default:
		return noRow()
	}
}
