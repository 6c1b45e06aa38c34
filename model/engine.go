package model

import (
	"time"

	"github.com/tarragonwheel/tarragonwheel/cost"
)

// engine is a model engine. It prefills the newest part of a split prompt first, then whole prompts in the order of
// their arrival, and runs no more streams than it has slots.
type engine struct {
	spec    *cost.Engine
	parts   []*prefill // unfinished parts, the one in progress last
	whole   []*prefill // unfinished whole prompts, the one in progress first
	streams int        // that are decoding
	tokens  int        // context of these streams
}

// prefill is a prompt, or a part of one, that an engine prefills.
type prefill struct {
	left time.Duration
	call *modelCall
	part bool
}

// add gives the engine a prompt or a part of one.
func (eng *engine) add(pre *prefill) {
	if pre.part {
		eng.parts = append(eng.parts, pre)
		return
	}
	eng.whole = append(eng.whole, pre)
}

// advance prefills for the given time and calls finished for each prefill that ends.
func (eng *engine) advance(step time.Duration, finished func(pre *prefill)) {
	for step > 0 {
		pre := eng.inProgress()
		if pre == nil {
			return
		}
		done := min(step, pre.left)
		pre.left -= done
		step -= done
		if pre.left == 0 {
			eng.remove(pre)
			finished(pre)
		}
	}
}

// inProgress returns the prefill in progress, or nil. Whole prompts wait for a slot.
func (eng *engine) inProgress() *prefill {
	switch {
	case len(eng.parts) > 0:
		return eng.parts[len(eng.parts)-1]
	case len(eng.whole) > 0 && eng.streams < eng.spec.Slots:
		return eng.whole[0]
	}
	return nil
}

func (eng *engine) remove(pre *prefill) {
	if pre.part {
		eng.parts = eng.parts[:len(eng.parts)-1]
		return
	}
	eng.whole = eng.whole[1:]
}

// iterationTime returns the time of an iteration with one stream more.
func (eng *engine) iterationTime(tokens int) time.Duration {
	return eng.spec.IterationTime(eng.streams+1, eng.tokens+tokens)
}
