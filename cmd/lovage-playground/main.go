// Command lovage-playground imitates the users' platform on loopback for the demo: the store
// with a configuration, and endpoints that register there.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"lovagescale/platform/standin"
)

// readHeaderTimeout bounds the time that a caller of the store may take to send a request's
// header.
const readHeaderTimeout = 5 * time.Second

// arguments holds the command-line arguments.
type arguments struct {
	Store     string `default:"127.0.0.1:7300" placeholder:"IP:PORT" help:"Address of the store."`
	Endpoints int    `default:"4" help:"Number of endpoints of the upstream \"files\"."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("lovage-playground"), kong.Description("Imitates the users' platform on loopback."))
	if err := run(args); err != nil {
		fmt.Fprintf(os.Stderr, "lovage-playground: %v\n", err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	store := standin.NewStore()
	err := store.Configure(standin.Configuration{
		Version: 1,
		Routes: []standin.Route{
			{Prefix: "/read/", Service: "files", Idempotent: true, TimeoutS: 2},
			{Prefix: "/act/", Service: "files", TimeoutS: 2},
		},
		Keys:     map[string][]string{"azul": {"demo-key"}},
		RatePerS: 100,
	})
	if err != nil {
		return err
	}
	for n := range args.Endpoints {
		endpoint, err := standin.NewEndpoint(fmt.Sprint("i-", n+1), "north-1")
		if err != nil {
			return err
		}
		defer endpoint.Close()
		if err := endpoint.Register(store, "files", "ready", 1); err != nil {
			return err
		}
	}
	listener, err := net.Listen("tcp", args.Store)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: store, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close() // makes Serve below return
	}()
	fmt.Printf("store at %s, %d endpoints\n", args.Store, args.Endpoints)
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
