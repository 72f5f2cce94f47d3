package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spurtrestle/internal/lab/bench"
)

// benchOptions holds the flags of lab bench.
type benchOptions struct {
	router, output string
	values, depths []int
	conns, servers int
	rate           float64
	length         time.Duration
	self           bool
}

func (*cli) labBenchCommand() *cobra.Command {
	var o benchOptions
	c := &cobra.Command{Use: "bench", Short: "Measure the router's ordinary path: one key, one server, a hit",
		Long: "Puts one router process on one core between a load generator and servers that answer at once, and tells\n" +
			"answers a second, latency, CPU and allocations a req. --self measures the generator against a null router.",
		Example: "  cache-routerctl lab bench\n  cache-routerctl lab bench --values 64,8192 --depths 1,8 --length 3s\n  cache-routerctl lab bench --self --rate 50000",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return o.run(c) }}
	f := c.Flags()
	f.StringVar(&o.router, "router", "", "program of the router (default: cache-router beside this program)")
	f.IntSliceVar(&o.values, "values", []int{512, 65536}, "bytes of a value")
	f.IntSliceVar(&o.depths, "depths", []int{1, 32}, "reqs in hand on a connection")
	f.IntVar(&o.conns, "conns", 64, "connections of clients")
	f.IntVar(&o.servers, "servers", 8, "cache servers")
	f.Float64Var(&o.rate, "rate", 0, "reqs a second by schedule; 0: each answer brings the next req")
	f.DurationVar(&o.length, "length", 5*time.Second, "of each measurement")
	f.BoolVar(&o.self, "self", false, "measure the generator itself")
	addOutputFlag(c, &o.output)
	return c
}

// check reports options that are out of range.
func (o benchOptions) check() error {
	if o.conns < 1 || o.conns > 300 || o.servers < 1 || o.servers > 100 || o.length < 100*time.Millisecond || o.length > time.Minute {
		return usageErrorf("--conns is from 1 to 300, --servers from 1 to 100, --length from 100ms to 1m")
	}
	for _, v := range o.values {
		if v < 1 || v > 65536 {
			return usageErrorf("--values: %d is not from 1 to 65536", v)
		}
	}
	for _, d := range o.depths {
		if d < 1 || d > 256 {
			return usageErrorf("--depths: %d is not from 1 to 256", d)
		}
	}
	return nil
}

func (o benchOptions) run(c *cobra.Command) error {
	if err := o.check(); err != nil {
		return err
	}
	if o.self {
		return measureGenerator(c, o.values[0], o.conns, o.rate, o.length, o.output)
	}
	program, err := routerBinary(o.router, "cache-router")
	if err != nil {
		return err
	}
	all, err := o.measure(c, program)
	if err != nil {
		return err
	}
	if o.output == "json" {
		return writeJSON(c.OutOrStdout(), all)
	}
	t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "value\tdepth\tconns\tanswers/s\tp50 ms\tp99 ms\tCPU us/req\tallocs/req\tbytes/req\topened\tnacked\tfailed\t")
	for _, f := range all {
		fmt.Fprintf(t, "%d\t%d\t%d\t%.0f\t%.2f\t%.2f\t%.1f\t%.1f\t%.0f\t%d\t%d\t%d\t\n", f.ValueBytes, f.Depth, f.Conns, f.AnswersPerSecond, f.P50, f.P99, f.CPUPerRequest,
			f.AllocsPerRequest, f.AllocBytesPerRequest, f.ConnectionsOpened, f.Rejected, f.Failed)
	}
	return t.Flush()
}

// measure measures the router for each size of values and each pipeline depth.
func (o benchOptions) measure(c *cobra.Command, program string) ([]bench.Measurements, error) {
	all := []bench.Measurements{}
	for _, value := range o.values {
		for _, depth := range o.depths {
			fmt.Fprintf(c.ErrOrStderr(), "%d B, depth %d: %v\n", value, depth, o.length)
			f, err := o.measureCase(c, program, bench.Case{ValueBytes: value, Depth: depth, Conns: o.conns, Rate: o.rate, Servers: o.servers})
			if err != nil {
				return nil, err
			}
			all = append(all, f)
		}
	}
	return all, nil
}

// measureCase measures the router for one case, in a temporary directory.
func (o benchOptions) measureCase(c *cobra.Command, program string, benchCase bench.Case) (bench.Measurements, error) {
	dir, err := os.MkdirTemp("", "spurlab-")
	if err != nil {
		return bench.Measurements{}, err
	}
	f, err := bench.MeasureRouter(c.Context(), program, dir, benchCase, o.length)
	if err != nil {
		return bench.Measurements{}, err // keep the directory: it has the log
	}
	if err := os.RemoveAll(dir); err != nil {
		return bench.Measurements{}, err
	}
	return f, nil
}

// measureGenerator measures the overhead of the load generator against a null router, which replies immediately.
func measureGenerator(c *cobra.Command, value, conns int, rate float64, length time.Duration, output string) error {
	if rate <= 0 {
		rate = 50000
	}
	null, err := bench.NewStubServer("127.0.0.1:0", bench.RouterReply(value))
	if err != nil {
		return err
	}
	defer null.Close()
	out, err := bench.Run(c.Context(), bench.Load{Addr: null.Addr(), Conns: conns, Rate: rate, Keys: 10000, Props: "c=get,d=2000",
		WarmUp: 500 * time.Millisecond, Duration: length})
	if err != nil {
		return err
	}
	if output == "json" {
		return writeJSON(c.OutOrStdout(), map[string]any{"asked_per_second": rate, "answers_per_second": out.Rate(), "p50_ms": out.Quantile(50),
			"p99_ms": out.Quantile(99), "late_p99_ms": out.LatenessP99.Seconds() * 1e3, "late_max_ms": out.MaxLateness.Seconds() * 1e3})
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "%.0f a second asked for, %.0f answered; latency p50 %.3f ms, p99 %.3f ms; sent late by %.3f ms at p99, %.1f ms at worst\n",
		rate, out.Rate(), out.Quantile(50), out.Quantile(99), out.LatenessP99.Seconds()*1e3, out.MaxLateness.Seconds()*1e3)
	return err
}
