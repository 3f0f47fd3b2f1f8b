// Package masticjson reads JSON objects without copying their values: it finds the raw
// members of an object in one pass, and puts changed objects together from raw members.
package masticjson
