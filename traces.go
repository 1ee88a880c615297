package main

var recordCommand = command{
	name:        "record",
	description: "make a trace of a site under load",
	run:         runRecord,
}

var replayCommand = command{
	name:        "replay",
	description: "replay a trace in virtual time and measure it",
	run:         runReplay,
}
