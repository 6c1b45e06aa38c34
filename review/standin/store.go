package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Topics of the platform's store that a front uses.
const (
	topicOperator = "keyed.op"
	topicReplicas = "keyed.servers"
)

// storeRecord is one record of a keyed topic. A nil value removes the key.
type storeRecord struct {
	key   string
	value []byte
}

// store is a stand-in of the platform's store. It is always sound: linearizable, and it loses nothing.
type store struct {
	address string
	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{} // closed at the next append
}

// startStore starts a store on a free loopback port.
func startStore() *store {
	str := &store{topics: make(map[string][]storeRecord), changed: make(chan struct{})}
	lis := listen()
	str.address = lis.Addr().String()
	go serve(lis, str)
	return str
}

// put appends a record to a topic and returns the moment of the acknowledgement.
func (str *store) put(topic, key string, value []byte) time.Time {
	str.mu.Lock()
	defer str.mu.Unlock()
	str.topics[topic] = append(str.topics[topic], storeRecord{key: key, value: value})
	close(str.changed)
	str.changed = make(chan struct{})
	return time.Now()
}

// read returns all records of a topic, and a channel that is closed at the next append to any topic.
func (str *store) read(topic string) ([]storeRecord, chan struct{}) {
	str.mu.Lock()
	defer str.mu.Unlock()
	return str.topics[topic], str.changed
}

// ServeHTTP implements http.Handler.
func (str *store) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	rw.Header().Set("Store-Era", "1")
	topic := req.URL.Query().Get("Topic")
	switch req.URL.Path {
	case "/v1/log-append":
		str.serveAppend(rw, req, topic)
	case "/v1/log-newest":
		str.serveNewest(rw, topic)
	case "/v1/log-read":
		str.serveRead(rw, req, topic)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// serveAppend appends the records of a request: each has 4 bytes of length, a byte with the length of its key, the key
// and the value.
func (str *store) serveAppend(rw http.ResponseWriter, req *http.Request, topic string) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	for len(raw) >= 4 {
		end := 4 + int(binary.BigEndian.Uint32(raw))
		one := raw[4:end]
		raw = raw[end:]
		keyEnd := 1 + int(one[0])
		var value []byte
		if len(one) > keyEnd {
			value = one[keyEnd:]
		}
		str.put(topic, string(one[1:keyEnd]), value)
	}
	list, _ := str.read(topic)
	fmt.Fprintf(rw, `{"Offset":%d,"End":%d}`, len(list)-1, len(list))
}

// serveNewest answers with the newest record of each key.
func (str *store) serveNewest(rw http.ResponseWriter, topic string) {
	type item struct {
		Key    string
		Value  string // base64
		Offset int
	}
	list, _ := str.read(topic)
	newest := make(map[string]item)
	for offset, rec := range list {
		if rec.value == nil {
			delete(newest, rec.key)
			continue
		}
		newest[rec.key] = item{Key: rec.key, Value: base64.StdEncoding.EncodeToString(rec.value), Offset: offset}
	}
	items := make([]item, 0, len(newest))
	for _, itm := range newest {
		items = append(items, itm)
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{"Items": items, "HasMore": false, "End": len(list)})
}

// serveRead answers with the records from an offset on, and waits for one if there is none yet.
func (str *store) serveRead(rw http.ResponseWriter, req *http.Request, topic string) {
	from, _ := strconv.Atoi(req.URL.Query().Get("From"))
	waitMs, _ := strconv.Atoi(req.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	list, changed := str.read(topic)
	for waiting := waitMs > 0; waiting && len(list) <= from; list, changed = str.read(topic) {
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-req.Context().Done():
			return
		}
	}
	if from > len(list) {
		rw.WriteHeader(http.StatusGone)
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range list[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(out, rec.key...)
		out = append(out, rec.value...)
	}
	_, _ = rw.Write(out)
}
