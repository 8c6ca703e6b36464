package exchange_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/exchange"
)

func TestOnlyANumberAboveZeroStatesAnOffset(t *testing.T) {
	is := is.New(t)
	for value, offset := range map[string]int{"": 0, "7": 7, "0": 0, "-7": 0, "7 events": 0, "99999999999999999999": 0} {
		header := http.Header{}
		header.Set(exchange.OffsetHeader, value)
		is.Equal(exchange.Native{}.ReadEndpointResponse(http.StatusOK, header).Offset, offset)
	}
}
