package main

import "os"

// untilEnd does what signals and updates ask for, one after the other, until a signal to end comes. That goes first: reloads,
// however many, must not hold it up. A nil channel of updates brings none.
func untilEnd(ends, reloads <-chan os.Signal, updates <-chan settingsUpdate, reload func(), take func(settingsUpdate)) {
	for {
		select {
		case <-ends:
			return
		default:
		}
		select {
		case <-ends:
			return
		case <-reloads:
			reload()
		case u := <-updates:
			take(u)
		}
	}
}
