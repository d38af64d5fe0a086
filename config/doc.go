// Package config reads and checks the settings file of a daemon: JSON with
// comments, one file per daemon.
//
// A daemon learns its addresses, its region and its failure domain from this
// file and from nowhere else. Everything that operators change while the fleet
// runs (customers, routes, pools) is in the platform instead.
//
// # Usage
//
//	s, err := config.Load("entry-1.json")
//	if err != nil {
//		return err // names the line, the field and the remedy
//	}
//	fmt.Println(s.Host, s.Listen.Callers)
package config
