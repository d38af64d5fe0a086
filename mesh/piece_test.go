package mesh

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// textList is a list with one large entry.
type textList struct {
	recordingList
	text []byte
	base []byte
	sent bool
}

func (l *textList) Content() []byte { return l.base }

func (l *textList) Since(store.Version, model.HostID) ListUpdate {
	return ListUpdate{Version: l.at, Age: 1, Events: []store.Event{{Object: store.Object{Name: "main", Version: l.at, Value: l.text}}}}
}

// randomText returns a text that cannot be compressed.
func randomText(seed uint64, size int) []byte {
	random := rand.New(rand.NewPCG(seed, 1))
	text := make([]byte, size)
	for i := range text {
		text[i] = byte(random.Uint32())
	}
	return text
}

func listsOf(l List) *RelayedLists {
	return &RelayedLists{Clock: func() time.Duration { return time.Hour }, All: []List{l}}
}

// pull lets a child receive one message of a parent.
func pull(child, parent *RelayedLists) *ListUpdate {
	m := &Message{From: "child", Versions: child.known(), Progress: child.progress(), Window: startWindow}
	updates := parent.since(m)
	sent := updates[0]
	child.apply(updates, m.Versions, time.Hour, "parent")
	return &sent
}

// TestPiecesResume guards against an update that begins again when the parent changes, and
// against pieces that are put together to something else than what was sent.
func TestPiecesResume(t *testing.T) {
	text := randomText(1, 40<<10)
	first := &textList{recordingList: recordingList{at: 9}, text: text}
	second := &textList{recordingList: recordingList{at: 9}, text: text}
	receiver := &textList{recordingList: recordingList{at: 5}}
	parents, child := []*RelayedLists{listsOf(first), listsOf(second)}, listsOf(receiver)
	messages := 0
	for ; len(receiver.received) == 0 && messages < 100; messages++ {
		u := pull(child, parents[messages%2])
		test.LessEq(t, startWindow, len(u.Piece.Data))
		test.EqOp(t, messages*startWindow, u.Piece.Offset)
	}
	must.Len(t, 1, receiver.received)
	must.Len(t, 1, receiver.received[0].Events)
	test.True(t, bytes.Equal(text, receiver.received[0].Events[0].Object.Value))
	test.EqOp(t, 9, receiver.at)
	test.EqOp(t, len(text)/startWindow+1, messages)

	// A newer version does not interrupt the transfer of the one before.
	receiver.at, receiver.received = 5, nil
	pull(child, parents[0])
	first.at, first.text = 11, randomText(2, 40<<10)
	for range messages {
		pull(child, parents[0])
	}
	must.Len(t, 1, receiver.received)
	test.EqOp(t, 9, receiver.received[0].Version)
	test.Positive(t, receiver.received[0].Age)

	// What a host sends only once a second, since its neighbour may not be able to read it, goes on.
	once := &onceList{textList{recordingList: recordingList{at: 5}, text: text}}
	receiver.at, receiver.received = 5, nil
	source := listsOf(once)
	for range messages {
		pull(child, source)
		once.sent = true
	}
	must.Len(t, 1, receiver.received)
	test.True(t, receiver.received[0].Outdated)
}

// onceList is a list whose update is offered to a neighbour once.
type onceList struct{ textList }

func (l *onceList) Since(known store.Version, to model.HostID) ListUpdate {
	if l.sent {
		return ListUpdate{}
	}
	return l.textList.Since(known, to)
}

// TestPiecesBased guards against a small change of a large content that takes as long as the
// whole of it.
func TestPiecesBased(t *testing.T) {
	old := randomText(1, 300<<10)
	changed := append(bytes.Clone(old[:100<<10]), append([]byte("changed"), old[100<<10:]...)...)
	for name, tt := range map[string]struct {
		base     []byte
		messages int
	}{"same content": {old, 1}, "other content": {randomText(3, 300<<10), 76}, "no content": {nil, 76}} {
		parent := &textList{recordingList: recordingList{at: 9}, text: changed, base: old}
		receiver := &textList{recordingList: recordingList{at: 5}, base: tt.base}
		from, child := listsOf(parent), listsOf(receiver)
		messages := 0
		for ; len(receiver.received) == 0 && messages < 200; messages++ {
			pull(child, from)
		}
		must.Len(t, 1, receiver.received, must.Sprint(name))
		test.True(t, bytes.Equal(changed, receiver.received[0].Events[0].Object.Value), test.Sprint(name))
		test.EqOp(t, tt.messages, messages, test.Sprint(name))
	}
}

// TestPiecesOdd guards against pieces that end the process, take memory, or make an update of
// other bytes than were sent, and against a neighbour of an older release that gets pieces.
func TestPiecesOdd(t *testing.T) {
	text := randomText(1, 40<<10)
	for name, change := range map[string]func(*Piece){
		"other byte":      func(p *Piece) { p.Data = append([]byte{^p.Data[0]}, p.Data[1:]...) },
		"other size":      func(p *Piece) { p.Size++ },
		"too large":       func(p *Piece) { p.Size = maxPacked + 1 },
		"no data":         func(p *Piece) { p.Data = nil },
		"negative offset": func(p *Piece) { p.Offset = -1 },
		"longer":          func(p *Piece) { p.Size = len(p.Data) - 1 },
		"unknown base":    func(p *Piece) { p.Base = 7 },
	} {
		parent, receiver := &textList{recordingList: recordingList{at: 9}, text: text}, &textList{recordingList: recordingList{at: 5}}
		from, child := listsOf(parent), listsOf(receiver)
		for range 30 {
			m := &Message{From: "child", Versions: child.known(), Progress: child.progress(), Window: startWindow}
			updates := from.since(m)
			change(updates[0].Piece)
			child.apply(updates, m.Versions, time.Hour, "parent")
		}
		test.Len(t, 0, receiver.received, test.Sprint(name))
		test.LessEq(t, maxPartial, len(child.transfers[0].partials), test.Sprint(name))
	}

	parent := &textList{recordingList: recordingList{at: 9}, text: text}
	u := listsOf(parent).since(&Message{From: "old release", Versions: []store.Version{5}})
	test.Nil(t, u[0].Piece)
	test.Len(t, 1, u[0].Events)
}

// TestWindow guards against pieces that take a large part of the time of an exchange, after
// which the parent counts as lost.
func TestWindow(t *testing.T) {
	got := ""
	for _, elapsed := range []time.Duration{5, 24, 25, 50, 51, 200} {
		got += fmt.Sprint(adjustWindow(startWindow, elapsed*time.Millisecond, regionTimeout), " ")
	}
	test.EqOp(t, "8192 8192 4096 4096 2048 2048 ", got)
	test.EqOp(t, minWindow, adjustWindow(minWindow, time.Second, regionTimeout))
	test.EqOp(t, maxWindow, adjustWindow(maxWindow, 0, regionTimeout))
}
