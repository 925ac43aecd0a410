package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"path"
	"strings"

	"github.com/twitchtv/twirp"

	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
)

// callKey is the key of the request in the context of a call from a peer.
type callKey struct{}

// Handler returns the HTTP interface for other entry hosts.
func (g *Group) Handler() http.Handler {
	hooks := &twirp.ServerHooks{Error: g.logUndecodable}
	calls := http.MaxBytesHandler(wire.NewPeerServer(&server{group: g}, twirp.WithServerHooks(hooks)), MaxMessageBytes)
	return g.longRows.handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callKey{}, r)))
	}))
}

// logUndecodable logs a message that can't be decoded, or a call that is unknown.
func (g *Group) logUndecodable(ctx context.Context, err twirp.Error) context.Context {
	if r, ok := ctx.Value(callKey{}).(*http.Request); ok && (err.Code() == twirp.Malformed || err.Code() == twirp.BadRoute) {
		sender := g.senderAt(r.RemoteAddr)
		g.logUnusable(&sender, unusableFields{{field: clip(path.Base(r.URL.Path)), value: err.Msg()}})
	}
	return ctx
}

// senderAt returns the only member with the IP address of a connection. If there is none, or if
// several have it, the address is the name.
func (g *Group) senderAt(remote string) membership.Member {
	ip, _, err := net.SplitHostPort(remote)
	if err != nil {
		ip = remote
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var found []membership.Member
	for _, m := range g.members.Members() {
		if m.Name != g.Self.Name && strings.HasPrefix(m.Address(), net.JoinHostPort(ip, "")) {
			found = append(found, m)
		}
	}
	if len(found) != 1 {
		return membership.Member{Name: ip}
	}
	return found[0]
}

// logRejection logs that a peer can't use a message of this host, and returns whether that is the
// error. The peer is alive then, and may be of another build.
func (g *Group) logRejection(name, call string, err error) bool {
	var answer twirp.Error
	if !errors.As(err, &answer) || (answer.Code() != twirp.InvalidArgument && answer.Code() != twirp.Malformed) {
		return false
	}
	peer := g.member(name)
	if g.unusable.due(peer.Name, "rejects "+call, peer.Incarnation) {
		g.Log.Warn().Str("part", "peers").Str("peer", peer.Name).Int64("incarnation", peer.Incarnation).Str("build", buildName(&peer)).
			Str("field", call).Err(err).Msg("peers: message of this host was rejected")
	}
	return true
}
