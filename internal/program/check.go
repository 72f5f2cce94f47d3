package program

import (
	"fmt"
	"io"
	"os"

	"github.com/sirupsen/logrus"

	"spurtrestle/internal/config"
	"spurtrestle/internal/configerror"
	"spurtrestle/internal/operator"
	"spurtrestle/internal/router"
)

// check validates the configuration and the operator's file as serve does, without opening a socket, and prints a summary of
// each. With an operator's file, the configuration is optional.
func check(configFile, operatorFile string, out io.Writer, components Components) error {
	file, err := loadOperatorFile(operatorFile, components)
	if err != nil {
		return err
	}
	if operatorFile != "" {
		if _, err := fmt.Fprintf(out, "%s: good; %s\n", operatorFile, describeState(file.State)); err != nil || configFile == "" {
			return err
		}
	}
	cfg, err := loadConfigFile(configFile)
	if err != nil {
		return err
	}
	if _, err := router.New(cfg, logrus.New()); err != nil {
		return err
	}
	if file.Fleet.Name != "" {
		if _, err := fleetConfig(file, cfg); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(out, "%s: good; %s listens on %s, %d methods, discovery at %s\n", configFile, cfg.Name, cfg.Listen,
		len(cfg.Settings.Methods), cfg.Discovery)
	return err
}

// describeState summarizes where and how often learned state is persisted.
func describeState(state operator.State) string {
	if state.Dir == "" {
		return "no state is kept"
	}
	return fmt.Sprintf("state is kept in %s, every %v", state.Dir, state.Interval())
}

// loadConfigFile loads the configuration from path instead of from the file that EDGE_CONFIG names. Unlike at startup, settings
// that mix two deployment shapes are an error.
func loadConfigFile(path string) (config.Config, error) {
	cfg, err := config.Load(func(variable string) string {
		if variable == "EDGE_CONFIG" {
			return path
		}
		return os.Getenv(variable)
	})
	if err != nil {
		return cfg, err
	}
	return cfg, cfg.ShapeConflict
}

// loadOperatorFile reads the operator's file and rejects tables of components that are not linked into this program.
func loadOperatorFile(path string, components Components) (operator.File, error) {
	file, err := operator.Load(path)
	if err != nil {
		return file, err
	}
	if file.GRPC.Listen != "" && components.GRPC == nil {
		return file, &configerror.Error{File: path, Field: "grpc.listen", Problem: "this program has no gRPC",
			Remedy: "start cache-router-grpc in its place, or leave the field empty"}
	}
	if file.Fleet.Name != "" && components.Fleet == nil {
		return file, file.FieldError("fleet.name", "this program is built without fleet membership",
			"start cache-router-fleet or cache-router-grpc instead, or leave the field empty")
	}
	return file, nil
}
