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

A host with damaged files does not start: its error names the file and the offset. It must not vote,
because its state may be incomplete. "repair" refuses an undamaged folder, and the folder of a fleet's
only control host, which holds the only replica of the state; restore that from a backup.

` + exitCodeHelp

type repairCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file of the host, which must be stopped"`
}

// Execute empties a damaged folder.
func (r *repairCommand) Execute([]string) error {
	settings, err := masticsettings.Read(r.Settings)
	if err != nil {
		return err
	}
	damage, err := findDamage(settings.DataFolder)
	if err != nil {
		return err
	}
	if damage == nil {
		return masticerror.New(masticerror.KindConflict, "%s is not damaged", settings.DataFolder)
	}
	if len(settings.Control) < 2 {
		return masticerror.New(masticerror.KindConflict, "%v; no other control host has the state", damage)
	}
	if err := masticstore.Clear(settings.DataFolder); err != nil {
		return err
	}
	fmt.Fprintf(output, "emptied the data folder; damage found: %v\n", damage)
	return nil
}

// findDamage opens the folder and returns the damage found in its files, or nil if there is none.
func findDamage(folder string) (*masticstore.DamageError, error) {
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
