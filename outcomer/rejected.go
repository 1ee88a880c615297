package outcomer

import "net/http"

// Malformed means that the request could not be decoded.
type Malformed struct{ sealed }

// Unauthorised means that the caller's credentials are missing or wrong.
type Unauthorised struct{ sealed }

// UnknownRoute means that no route has the request's path and method.
type UnknownRoute struct{ sealed }

// UnknownModel means that no pool serves the model or that the class is
// unknown.
type UnknownModel struct{ sealed }

// TooLarge means that the prompt or the body exceeds a limit.
type TooLarge struct{ sealed }

func describeRejected(o Outcome) (Row, bool) {
	const correct = "Correct the request before sending it again."
	switch o.(type) {
	case Malformed:
		return newRow(http.StatusBadRequest, "Malformed", RanNo,
			"The request can't be read; the body names the field.", correct)
	case Unauthorised:
		return newRow(http.StatusUnauthorized, "Unauthorised", RanNo,
			"The API key or the credentials are missing or wrong.", correct)
	case UnknownRoute:
		return newRow(http.StatusNotFound, "UnknownRoute", RanNo,
			"No route has this path and method.", correct)
	case UnknownModel:
		return newRow(http.StatusNotFound, "UnknownModel", RanNo,
			"No pool serves the model, or there is no such class.", correct)
	case TooLarge:
		return newRow(http.StatusRequestEntityTooLarge, "TooLarge", RanNo,
			"The prompt or the body is larger than any upstream takes.", correct)
	default:
		return noRow()
	}
}
