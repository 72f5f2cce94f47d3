package http1

import (
	"fmt"

	"spurtrestle/internal/httpwire"
	"spurtrestle/internal/wire"
)

var codec = Codec{httpwire.Bounds{Head: 1000, Body: 100}}

func Example_append() {
	request := &wire.Request{ID: "id", Key: []byte("a b/c"), Props: wire.NewProps([]byte("c=get\r\n,d=5"))}
	fmt.Printf("%q\n", codec.AppendAttempt(nil, wire.NewAttempt(request, "origin:80", 3900)))
	request.Write, request.Value = true, []byte("v")
	fmt.Printf("%q\n", codec.AppendAttempt(nil, wire.NewAttempt(request, "origin:80", 3900)))
	// Output:
	// "GET /a%20b%2Fc HTTP/1.1\r\nHost: origin:80\r\nX-Trace-Id: id\r\nX-Props: c=get,d=3\r\n\r\n"
	// "PUT /a%20b%2Fc HTTP/1.1\r\nHost: origin:80\r\nX-Trace-Id: id\r\nX-Props: c=get,d=3\r\nContent-Length: 1\r\n\r\nv"
}

func Example_read() {
	for _, text := range []string{"200 OK\r\nContent-Length: 1\r\nEndpoint-Load-Metrics: a=1\r\n\r\nv", "500 x\r\nContent-Length: 0\r\n\r\n",
		"503 x\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", "503 x\r\nContent-Length: 0\r\n\r\n", "200 OK\r\n\r\nto the end"} {
		for _, ended := range []bool{false, true} {
			o, used, keep, err := codec.ReadAnswer([]byte("HTTP/1.1 "+text), ended)
			fmt.Printf("%.14q ended %v: status %d value %q report %q, %d used, keep %v, %v\n", text, ended, o.Status, o.Value, o.Report, used, keep, err)
		}
	}
	// Output:
	// "200 OK\r\nConten" ended false: status 0 value "v" report "a=1", 67 used, keep true, <nil>
	// "200 OK\r\nConten" ended true: status 0 value "v" report "a=1", 67 used, keep true, <nil>
	// "500 x\r\nContent" ended false: status 1 value "" report "", 37 used, keep true, <nil>
	// "500 x\r\nContent" ended true: status 1 value "" report "", 37 used, keep true, <nil>
	// "503 x\r\nX-Never" ended false: status 2 value "" report "", 53 used, keep true, <nil>
	// "503 x\r\nX-Never" ended true: status 2 value "" report "", 53 used, keep true, <nil>
	// "503 x\r\nContent" ended false: status 1 value "" report "", 37 used, keep true, <nil>
	// "503 x\r\nContent" ended true: status 1 value "" report "", 37 used, keep true, <nil>
	// "200 OK\r\n\r\nto t" ended false: status 0 value "" report "", 0 used, keep false, <nil>
	// "200 OK\r\n\r\nto t" ended true: status 0 value "to the end" report "", 29 used, keep false, <nil>
}
