// Package wire turns the simulator's text lines into the decision module's events, and its actions into lines. It also
// reads the settings, which the simulator gives in lines and the platform as JSON. It decides nothing.
//
// The names on the wire are the platform's. They are mapped here to the terms of docs/GLOSSARY.md, and nothing
// further in uses them.
package wire
