// Package config reads and validates the settings file of a daemon, which is JSON
// with comments. Each daemon has its own file.
//
// The file is the only source of a daemon's addresses, region and failure domain.
// The configuration that operators change at run time (customers, routes, pools)
// is stored in the platform instead.
//
// # Usage
//
//	s, err := config.Load("entry-1.json")
//	if err != nil {
//		return err // contains the line or field, and the remedy
//	}
//	fmt.Println(s.Host, s.Listen.Callers)
package config
