package peer

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"sassafrasplank.example/sassafrasplank/internal/membership"
)

const (
	// maxItemBytes limits the part of a name in a log line.
	maxItemBytes = 40
	// maxReported limits the senders and fields of which a host remembers that it has logged them.
	// Further ones aren't logged.
	maxReported = 4096
)

// unusableField is a field of a message with a value that can't be used.
type unusableField struct {
	// field is the message and the field as in peer.proto, and item what the value belongs to,
	// such as a target. It is empty if the message has one of its kind.
	field, item string
	value       string
}

// unusableFields are the fields of a message that can't be used, one entry for each field. What they
// belong to is left out, the rest of the message counts.
type unusableFields []unusableField

// Error names the fields.
func (u unusableFields) Error() string {
	texts := make([]string, len(u))
	for i, f := range u {
		texts[i] = strings.TrimSpace(fmt.Sprintf("%s: %s %s", f.field, f.value, f.item))
	}
	return "values that can't be used: " + strings.Join(texts, ", ")
}

// err returns the fields as an error, nil if there are none.
func (u unusableFields) err() error {
	if len(u) == 0 {
		return nil
	}
	return u
}

// add adds a field, unless it is known from another item.
func (u *unusableFields) add(field, item, format string, args ...any) {
	if slices.ContainsFunc(*u, func(known unusableField) bool { return known.field == field }) {
		return
	}
	*u = append(*u, unusableField{field: field, item: clip(item), value: fmt.Sprintf(format, args...)})
}

// addLong adds a list with more entries than are used.
func (u *unusableFields) addLong(field string, got, used int) {
	u.add(field, "", "%d entries, of which %d are used", got, used)
}

// clip returns the beginning of a name.
func clip(name string) string { return name[:min(len(name), maxItemBytes)] }

// addMistyped adds the fields of m that have another type than here, and returns their names.
// Decoding treats them as unknown. Fields of later builds are no such fields.
func (u *unusableFields) addMistyped(m proto.Message, item string) (names []string) {
	r := m.ProtoReflect()
	for data := r.GetUnknown(); len(data) > 0; {
		number, _, n := protowire.ConsumeField(data)
		if n < 0 {
			break
		}
		data = data[n:]
		if f := r.Descriptor().Fields().ByNumber(number); f != nil {
			names = append(names, string(f.Name()))
			u.add(string(r.Descriptor().Name())+"."+string(f.Name()), item, "another type than %s", f.Kind())
		}
	}
	return names
}

// unusableLog logs what can't be used, once for each process of a sender and field.
type unusableLog struct {
	mu sync.Mutex
	// reported has the incarnation of the sender in the last line.
	reported map[reportedField]int64
}

type reportedField struct{ sender, field string }

// due reports whether a field of a sender is to be logged.
func (l *unusableLog) due(sender, field string, incarnation int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reported == nil {
		l.reported = map[reportedField]int64{}
	}
	key := reportedField{sender, field}
	last, known := l.reported[key]
	if (known && last >= incarnation) || (!known && len(l.reported) >= maxReported) {
		return false
	}
	l.reported[key] = incarnation
	return true
}

// logUnusable logs the fields of a message that can't be used. Other errors are ignored.
func (g *Group) logUnusable(sender *membership.Member, err error) {
	var fields unusableFields
	if !errors.As(err, &fields) {
		return
	}
	for _, f := range fields {
		if g.unusable.due(sender.Name, f.field, sender.Incarnation) {
			g.Log.Warn().Str("part", "peers").Str("peer", sender.Name).Int64("incarnation", sender.Incarnation).Str("build", buildName(sender)).
				Str("field", f.field).Str("item", f.item).Str("value", f.value).Msg("peers: value in a message can't be used, it is left out")
		}
	}
}

// member returns a member by its name. If it isn't known, only the name is set.
func (g *Group) member(name string) membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if name == g.Self.Name {
		return g.members.Self()
	}
	if m, known := g.members.Get(name); known {
		return m
	}
	return membership.Member{Name: name}
}
