package outcomer

import "net/http"

// Answered means that the whole answer went to the caller.
type Answered struct{ sealed }

// CallerGone means that the caller left before the answer was whole.
type CallerGone struct{ sealed }

// TakenOver ends the earlier connection of a caller that came back.
type TakenOver struct{ sealed }

func describeAnswered(o Outcome) (Row, bool) {
	switch o.(type) {
	case Answered:
		return row(http.StatusOK, "Answered", RanYes,
			"The answer is whole.", "Nothing.")
	case CallerGone:
		return row(StatusClientClosed, "CallerGone", RanUnknown,
			"The caller closed the connection. Only logged, never sent.",
			"A repeatable request: send it again with the same key, which joins the running answer. Another: the key is spent, ask the service what happened.")
	case TakenOver:
		return row(http.StatusConflict, "TakenOver", RanUnknown,
			"A later connection with the same key gets the answer.", "Nothing; read the later connection.")
	default:
		return none()
	}
}
