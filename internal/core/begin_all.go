package core

import "time"

// maxMessageAge is the maximum time between the encoding of a message and the end of the checks that permit to write
// it. It is as long as the answer of Query.ClientLeft counts.
const maxMessageAge = clientPollInterval

// BeginAll begins those of the attempts that may begin. It returns them and the message that encode makes of them, or
// nothing if no attempt may begin or encode returns nil, which means that there is no message for them. The Caller
// writes the message at once; the other attempts end as NotSent.
//
// Encoding takes a while, and the process may be suspended or starved of CPU meanwhile. BeginAll therefore encodes
// before it begins the attempts. If the checks end more than maxMessageAge after the encoding began, clients may have
// left and the time that the message names has passed: BeginAll encodes the message again and repeats the checks.
//
// Any goroutine may call BeginAll, possibly while it holds a lock: it blocks only if encode does.
func BeginAll(attempts []*Attempt, encode func([]*Attempt) []byte) (message []byte, begun []*Attempt) {
	return beginIf((*Attempt).Begin, attempts, encode)
}

// BeginAgain returns the message with which an attempt is sent once more after its replica has refused the first one
// without running it. It returns nil if the attempt must not be sent any more, for the reasons of Begin, or encode
// returns nil.
func BeginAgain(at *Attempt, encode func([]*Attempt) []byte) (message []byte) {
	message, _ = beginIf((*Attempt).mayStillBegin, []*Attempt{at}, encode)
	return message
}

// beginIf implements BeginAll for the attempts that mayBegin permits.
func beginIf(mayBegin func(*Attempt) bool, attempts []*Attempt, encode func([]*Attempt) []byte) (message []byte,
	begun []*Attempt) {
	begun = attempts
	for len(begun) > 0 {
		encodedAt := begun[0].permit.now()
		if message = encode(begun); message == nil {
			return nil, nil
		}
		permitted := filter(begun, mayBegin)
		if len(permitted) == len(begun) && begun[0].permit.now()-encodedAt <= maxMessageAge {
			return message, begun
		}
		begun, mayBegin = permitted, (*Attempt).mayStillBegin
	}
	return nil, nil
}

// filter returns the attempts that a check permits.
func filter(attempts []*Attempt, permits func(*Attempt) bool) []*Attempt {
	permitted := make([]*Attempt, 0, len(attempts))
	for _, at := range attempts {
		if permits(at) {
			permitted = append(permitted, at)
		}
	}
	return permitted
}

// now returns the current instant; 0 for the zero value.
func (p *permit) now() time.Duration {
	if p.clock == nil {
		return 0
	}
	return p.clock()
}
