package main

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/examples"
)

// Guards against an example file that check rejects.
func TestCheckAcceptsExamples(t *testing.T) {
	for _, d := range []string{"sakdiphong", "campos"} {
		dir := filepath.Join("../../examples", d)
		files, err := fs.Glob(examples.FS, d+"/*-[ab]-?.json")
		assert.NilError(t, err)
		args := []string{"check"}
		for _, f := range files {
			args = append(args, filepath.Join("../../examples", f))
		}
		args = append(args, filepath.Join(dir, "stand-in.json"), filepath.Join(dir, "first.json"), filepath.Join(dir, "shift.json"))
		var stderr bytes.Buffer
		assert.Equal(t, run(args, new(bytes.Buffer), &stderr), 0, stderr.String())
	}
}

// invalidFileCase replaces the first occurrence of a text in a valid file. The error
// message has to contain wantMessage.
type invalidFileCase struct {
	file, validText, invalidText string
	wantMessage                  string
	wantExitCode                 int
}

const (
	settingsFile = "sakdiphong/bkk-a-1.json"
	noteFile     = "sakdiphong/first.json"
	standInFile  = "sakdiphong/stand-in.json"
)

var invalidFileCases = map[string]invalidFileCase{
	"settings: unknown field":      {settingsFile, `"seeds"`, `"seed"`, `line 15: field "seed" is unknown`, 2},
	"settings: no name":            {settingsFile, `"name": "bkk-a-1"`, `"name": ""`, `field "name" is empty`, 2},
	"settings: no zone":            {settingsFile, `"zone": "bkk-a"`, `"zone": ""`, `field "zone" is empty`, 2},
	"settings: host name":          {settingsFile, `127.10.1.1:8080`, `localhost:8080`, `"caller.listen" is "localhost:8080": use an IP address`, 2},
	"settings: address used twice": {settingsFile, `127.10.1.1:8081`, `127.10.1.1:8080`, `also used by field "caller.listen"`, 2},
	"settings: seed":               {settingsFile, `127.10.1.3:8082`, `127.10.1.3`, `"seeds[1]"`, 2},
	"settings: no TLS":             {settingsFile, `"plain": true`, `"plain": false`, `"certificate", "key" and "authority"`, 2},
	"settings: key without certificate": {
		settingsFile, `"listen": "127.10.1.1:8080"`, `"listen": "127.10.1.1:8080", "key": "k.pem"`, `"certificate" and "key" go together`, 2,
	},
	"settings: platform URL": {settingsFile, `"table": "http://`, `"table": "ftp://`, `"platform.table" is "ftp:`, 2},
	"settings: duration":     {settingsFile, `"platform": {`, `"stop": {"hard": "5"}, "platform": {`, `field "hard": "5" is not a duration`, 2},
	"settings: negative":     {settingsFile, `"platform": {`, `"limits": {"queue": -1}, "platform": {`, `"limits.queue" is below 1`, 2},
	"settings: log level":    {settingsFile, `"platform": {`, `"log": {"level": "loud"}, "platform": {`, `"log.level" is "loud": use trace`, 2},

	"note: no id":         {noteFile, `"id": "first"`, `"id": ""`, `field "id" is empty`, 2},
	"note: other base":    {noteFile, `"base": 0`, `"base": 7`, `based on version 7`, 4},
	"note: unknown field": {noteFile, `"fraction"`, `"fractions"`, `field "fractions" is unknown`, 2},
	"note: wrong type":    {noteFile, `"slots": 81`, `"slots": "81"`, `use a value of type int`, 2},
	"note: class":         {noteFile, `"class": "once"`, `"class": "twice"`, `"class" is "twice": use one of lookup, download, once`, 2},
	"note: cap":           {noteFile, `"fraction": 0.1`, `"fraction": 1.1`, `"cap.fraction" is 1.1: use a number above 0`, 2},
	"note: link rate":     {noteFile, `"rate": 500000000`, `"rate": 0`, `"rate" is 0: give bytes per second`, 2},
	"note: undefined region": {
		noteFile, `"region": "bkk"`, `"region": "bk"`, `region "bk" is not defined: add it or withdraw`, 2,
	},
	"note: zone of another region": {noteFile, `"zone": "bkk-a"`, `"zone": "cnx-a"`, `zone "cnx-a" is not in region "bkk"`, 2},
	"note: same address":           {noteFile, `127.10.10.2:9000`, `127.10.10.1:9000`, `is also the address of upstream`, 2},
	"note: hold":                   {noteFile, `"hold": "refuse"`, `"hold": "wait"`, `"hold" is "wait": use "refuse" or "stay"`, 2},
	"note: prefix":                 {noteFile, `10.10.0.0/17`, `10.10.0.0/77`, `field "prefix"`, 2},

	"stand-in: unknown field":  {standInFile, `"jitter"`, `"jiter"`, `field "jiter" is unknown: correct its name`, 2},
	"stand-in: platform":       {standInFile, `"127.10.0.1:9100"`, `"127.10.0.1"`, `field platform is "127.10.0.1": use an IP address`, 2},
	"stand-in: same address":   {standInFile, `127.10.10.2:9000`, `127.10.10.1:9000`, `use different ports`, 2},
	"stand-in: same name":      {standInFile, `"name": "catalog-2"`, `"name": "catalog-1"`, `"catalog-1" is described twice`, 2},
	"stand-in: no slots":       {standInFile, `"slots": 9`, `"slots": 0`, `upstream "catalog-1": field "slots" is 0: use 1 to`, 2},
	"stand-in: negative time":  {standInFile, `"time": "8ms"`, `"time": "-8ms"`, `field "time" is -8ms`, 2},
	"stand-in: jitter":         {standInFile, `"jitter": 0.25`, `"jitter": 25`, `field "jitter" is 25: use a fraction`, 2},
	"stand-in: cold start":     {standInFile, `"factor": 2`, `"factor": 0.5`, `field "cold.factor" is 0.5`, 2},
	"stand-in: size":           {standInFile, `"size": 4096`, `"size": 4096000000`, `field "size"`, 2},
	"stand-in: delay":          {standInFile, `"region": "55ms"`, `"region": "-55ms"`, `field "delays"`, 2},
	"stand-in: host state":     {standInFile, `"state": "live"`, `"state": "dead"`, `field "state" is "dead": use "live"`, 2},
	"stand-in: faults":         {standInFile, `"jitter"`, `"faults": {"slow": -1}, "jitter"`, `field "faults.slow" is -1`, 2},
	"any: not JSON":            {settingsFile, `{`, `name:`, `line 1: invalid character`, 2},
	"any: a second object":     {noteFile, "\"withdrawn\": {}\n}", "\"withdrawn\": {}\n}{}", `data after the JSON object`, 2},
	"any: ends in the middle":  {standInFile, "\n}\n", "", `ends early`, 2},
	"any: an array, no object": {settingsFile, `{`, `[{`, `line`, 2},
}

// Guards against an invalid file that check accepts, or rejects with another exit code
// or without the file, the field and the correction in the message.
func TestCheckRejectsInvalidFiles(t *testing.T) {
	for name, m := range invalidFileCases {
		t.Run(name, func(t *testing.T) {
			raw, err := examples.FS.ReadFile(m.file)
			assert.NilError(t, err)
			text := string(raw)
			assert.Assert(t, strings.Contains(text, m.validText))
			file := filepath.Join(t.TempDir(), "wrong.json")
			assert.NilError(t, os.WriteFile(file, []byte(strings.Replace(text, m.validText, m.invalidText, 1)), 0o600))
			var stderr bytes.Buffer
			code := run([]string{"check", file}, new(bytes.Buffer), &stderr)
			assert.Equal(t, code, m.wantExitCode, stderr.String())
			assert.Assert(t, strings.Contains(stderr.String(), m.wantMessage), stderr.String())
			assert.Assert(t, strings.Contains(stderr.String(), file+": "), stderr.String())
		})
	}
}
