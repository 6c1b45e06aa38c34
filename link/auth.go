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

// Path is the HTTP path on which agents accept connections.
const Path = "/link"

const (
	nonceBytes   = 16
	sideDialer   = "dialing"
	sideListener = "listening"
)

// Dial connects to the process that listens at addr and completes the handshake. The connection is closed when ctx is
// done. The error is trace.AccessDenied if the listener does not prove that it knows the deployment's secret, and
// trace.ConnectionProblem if the connection fails, also because the listener refuses this process.
func Dial(ctx context.Context, addr string, opts Options) (*Conn, error) {
	tctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	sock, resp, err := websocket.Dial(tctx, "ws://"+addr+Path, nil)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("link: dial: %w", trace.ConnectionProblem(err, "address %s: %v", addr, err))
	}
	peer, err := handshakeAsDialer(tctx, sock, opts)
	if err != nil {
		_ = sock.CloseNow()
		return nil, fmt.Errorf("link: handshake with %s: %w", addr, err)
	}
	return newConn(ctx, sock, peer, opts, true), nil
}

// Handler returns an HTTP handler that accepts connections on Path and closes them when ctx is done. It calls onConn
// with each connection that has completed the handshake.
func Handler(ctx context.Context, opts Options, onConn func(con *Conn)) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		sock, err := websocket.Accept(rw, req, nil)
		if err != nil {
			opts.Log.V(1).Info("link: WebSocket upgrade failed", "error", err.Error())
			return
		}
		tctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		peer, err := handshakeAsListener(tctx, sock, opts)
		cancel()
		if err != nil {
			opts.Metrics.CountRefusal("peer-not-authenticated")
			opts.Log.Info("link: handshake failed, peer refused", "address", req.RemoteAddr, "error", err.Error())
			_ = sock.Close(websocket.StatusPolicyViolation, "handshake refused")
			return
		}
		con := newConn(ctx, sock, peer, opts, false)
		onConn(con)
		<-con.Done()
	})
}

// handshakeAsDialer runs the dialing side of the handshake and returns the listener's description. The messages are, in
// order: challenge with the listener's nonce, hello with the dialer's nonce and proof, welcome with the listener's
// proof.
func handshakeAsDialer(ctx context.Context, sock *websocket.Conn, opts Options) (proto.Peer, error) {
	cha, err := readFrame[proto.Challenge](ctx, sock, proto.KindChallenge)
	if err != nil {
		return proto.Peer{}, err
	}
	own := newNonce()
	mac, err := computeProof(opts.Secret, sideDialer, cha.Nonce, own, opts.Local)
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
	return wel.Peer, verifyProof(opts.Secret, sideListener, own, cha.Nonce, wel.Peer, wel.Proof)
}

// handshakeAsListener runs the listening side of the handshake and returns the dialer's description.
func handshakeAsListener(ctx context.Context, sock *websocket.Conn, opts Options) (proto.Peer, error) {
	own := newNonce()
	if err := writeFrame(ctx, sock, proto.KindChallenge, proto.Challenge{Nonce: own}); err != nil {
		return proto.Peer{}, err
	}
	hel, err := readFrame[proto.Hello](ctx, sock, proto.KindHello)
	if err != nil {
		return proto.Peer{}, err
	}
	if err := verifyProof(opts.Secret, sideDialer, own, hel.Nonce, hel.Peer, hel.Proof); err != nil {
		return proto.Peer{}, err
	}
	mac, err := computeProof(opts.Secret, sideListener, hel.Nonce, own, opts.Local)
	if err != nil {
		return proto.Peer{}, err
	}
	return hel.Peer, writeFrame(ctx, sock, proto.KindWelcome, proto.Welcome{Peer: opts.Local, Proof: mac})
}

// computeProof returns an HMAC-SHA256 over the proving side, both nonces and the prover's description. The nonces
// prevent the replay of a recorded handshake, and the side prevents a proof from being reflected to its sender.
func computeProof(
	secret []byte, side string, verifierNonce, proverNonce []byte, prover proto.Peer,
) ([]byte, error) {
	raw, err := proto.Marshal([]any{side, verifierNonce, proverNonce, prover})
	if err != nil {
		return nil, err
	}
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write(raw) // hash.Hash.Write never returns an error.
	return mac.Sum(nil), nil
}

// verifyProof returns a trace.AccessDenied error if got is not the proof that a prover with the secret sends.
func verifyProof(
	secret []byte, side string, verifierNonce, proverNonce []byte, prover proto.Peer, got []byte,
) error {
	want, err := computeProof(secret, side, verifierNonce, proverNonce, prover)
	if err != nil {
		return err
	}
	if len(proverNonce) != nonceBytes || len(verifierNonce) != nonceBytes || !hmac.Equal(want, got) {
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
