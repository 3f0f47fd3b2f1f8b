package masticcommand

import (
	"errors"
	"fmt"

	"masticladder/masticerror"
	"masticladder/masticsettings"
	"masticladder/masticstore"
)

const repairHelp = `Empties a data folder whose files are damaged, so that the host rejoins control as a learner.

Example:
  masticladder repair --settings host.jsonc

A host with damaged files does not start: its error names file and offset. It must not vote from what
is left of them. "repair" refuses a folder that is whole, and one of a fleet with a single control host,
whose files are all there is; restore those from a copy.

` + exitCodeHelp

type repairCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file of the host, which is stopped"`
}

// Execute empties a damaged folder.
func (r *repairCommand) Execute([]string) error {
	settings, err := masticsettings.Read(r.Settings)
	if err != nil {
		return err
	}
	damage, err := damageOf(settings.DataFolder)
	if err != nil {
		return err
	}
	if damage == nil {
		return masticerror.New(masticerror.KindConflict, "%s is not damaged", settings.DataFolder)
	}
	if len(settings.Control) < 2 {
		return masticerror.New(masticerror.KindConflict, "%v; no other control host has the state", damage)
	}
	if err := masticstore.Renew(settings.DataFolder); err != nil {
		return err
	}
	fmt.Fprintf(output, "emptied after: %v\n", damage)
	return nil
}

// damageOf opens the folder and returns what is damaged in it, or nil.
func damageOf(folder string) (*masticstore.DamageError, error) {
	store, _, err := masticstore.Open(folder)
	var damage *masticstore.DamageError
	if errors.As(err, &damage) {
		return damage, nil
	}
	if err != nil {
		return nil, err
	}
	return nil, store.Close()
}
