package link

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"net/http"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Path is the HTTP path on which agents listen for connections.
const Path = "/link"

const (
	nonceBytes    = 16
	sideDialing   = "dialing"
	sideListening = "listening"
)

// Dial connects to a listening process and completes the handshake. The connection ends with ctx.
func Dial(ctx context.Context, addr string, opts Options) (*Conn, error) {
	lim, cancel := context.WithTimeout(ctx, handshakeLimit)
	defer cancel()
	sock, resp, err := websocket.Dial(lim, "ws://"+addr+Path, nil)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("link: dial: %w", trace.ConnectionProblem(err, "address %s: %v", addr, err))
	}
	peer, err := greet(lim, sock, opts)
	if err != nil {
		_ = sock.CloseNow()
		return nil, fmt.Errorf("link: handshake with %s: %w", addr, err)
	}
	return newConn(ctx, sock, peer, opts, true), nil
}

// Handler accepts connections on Path. They end with ctx. The function onConn receives each one after its handshake.
func Handler(ctx context.Context, opts Options, onConn func(con *Conn)) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		sock, err := websocket.Accept(rw, req, nil)
		if err != nil {
			opts.Log.V(1).Info("link: upgrade failed", "error", err.Error())
			return
		}
		lim, cancel := context.WithTimeout(ctx, handshakeLimit)
		peer, err := examine(lim, sock, opts)
		cancel()
		if err != nil {
			opts.Metrics.Refusal("peer-not-authenticated")
			opts.Log.Info("link: peer refused", "address", req.RemoteAddr, "error", err.Error())
			_ = sock.Close(websocket.StatusPolicyViolation, "handshake refused")
			return
		}
		con := newConn(ctx, sock, peer, opts, false)
		onConn(con)
		<-con.Done()
	})
}

// greet runs the dialing side of the handshake.
func greet(ctx context.Context, sock *websocket.Conn, opts Options) (proto.Peer, error) {
	cha, err := readFrame[proto.Challenge](ctx, sock, proto.KindChallenge)
	if err != nil {
		return proto.Peer{}, err
	}
	own := newNonce()
	mac, err := proof(opts.Secret, sideDialing, cha.Nonce, own, opts.Local)
	if err != nil {
		return proto.Peer{}, err
	}
	hel := proto.Hello{Peer: opts.Local, Nonce: own, Proof: mac}
	if err := writeFrame(ctx, sock, proto.KindHello, hel); err != nil {
		return proto.Peer{}, err
	}
	wel, err := readFrame[proto.Welcome](ctx, sock, proto.KindWelcome)
	if err != nil {
		return proto.Peer{}, err
	}
	return wel.Peer, verify(opts.Secret, sideListening, own, cha.Nonce, wel.Peer, wel.Proof)
}

// examine runs the listening side of the handshake.
func examine(ctx context.Context, sock *websocket.Conn, opts Options) (proto.Peer, error) {
	own := newNonce()
	if err := writeFrame(ctx, sock, proto.KindChallenge, proto.Challenge{Nonce: own}); err != nil {
		return proto.Peer{}, err
	}
	hel, err := readFrame[proto.Hello](ctx, sock, proto.KindHello)
	if err != nil {
		return proto.Peer{}, err
	}
	if err := verify(opts.Secret, sideDialing, own, hel.Nonce, hel.Peer, hel.Proof); err != nil {
		return proto.Peer{}, err
	}
	mac, err := proof(opts.Secret, sideListening, hel.Nonce, own, opts.Local)
	if err != nil {
		return proto.Peer{}, err
	}
	return hel.Peer, writeFrame(ctx, sock, proto.KindWelcome, proto.Welcome{Peer: opts.Local, Proof: mac})
}

// proof authenticates a side, both nonces and the peer's description, so that a recorded handshake proves nothing in
// another one and neither side's proof can be sent back as the other's.
func proof(secret []byte, side string, first, second []byte, peer proto.Peer) ([]byte, error) {
	raw, err := proto.Marshal([]any{side, first, second, peer})
	if err != nil {
		return nil, err
	}
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write(raw) // hash.Hash.Write never returns an error.
	return mac.Sum(nil), nil
}

func verify(secret []byte, side string, first, second []byte, peer proto.Peer, got []byte) error {
	want, err := proof(secret, side, first, second, peer)
	if err != nil {
		return err
	}
	if len(second) != nonceBytes && len(first) != nonceBytes || !hmac.Equal(want, got) {
		return trace.AccessDenied("the peer does not know the deployment's secret")
	}
	return nil
}

func newNonce() []byte {
	buf := make([]byte, nonceBytes)
	_, _ = rand.Read(buf) // crypto/rand.Read never fails on supported platforms.
	return buf
}

func writeFrame(ctx context.Context, sock *websocket.Conn, knd proto.Kind, msg any) error {
	raw, err := proto.Encode(knd, 0, msg)
	if err != nil {
		return err
	}
	if err := sock.Write(ctx, websocket.MessageBinary, raw); err != nil {
		return fmt.Errorf("write %s: %w", knd, trace.ConnectionProblem(err, "handshake: %v", err))
	}
	return nil
}

func readFrame[T any](ctx context.Context, sock *websocket.Conn, want proto.Kind) (T, error) {
	var none T
	_, raw, err := sock.Read(ctx)
	if err != nil {
		return none, fmt.Errorf("read %s: %w", want, trace.ConnectionProblem(err, "handshake: %v", err))
	}
	frm, err := proto.Decode(raw)
	if err != nil {
		return none, err
	}
	if frm.Kind != want {
		return none, trace.BadParameter("got a %s frame, want %s", frm.Kind, want)
	}
	return proto.Parse[T](frm)
}
