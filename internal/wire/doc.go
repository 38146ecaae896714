// Package wire decodes the simulator's text lines to the decision module's events, and encodes the module's actions as
// lines. It also reads the settings, which the simulator sends in lines and the platform as JSON. It decides nothing.
//
// The names on the wire are the platform's. This package maps them to the terms of docs/GLOSSARY.md, and the packages
// behind it do not use them.
package wire
