package main

import "github.com/spf13/cobra"

func (a *app) bench() *cobra.Command { return &cobra.Command{Use: "bench", Hidden: true} }
