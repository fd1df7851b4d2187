package caller

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/journal"
)

// batch is the stored value of a slot object. The names are short because each
// slot is written many times.
type batch struct {
	Seq     uint64   `json:"seq"`
	Owner   string   `json:"owner"`
	WriteID string   `json:"write_id"`
	Records []record `json:"records"`
}

type record struct {
	Kind             journal.Kind `json:"k"`
	Owner            string       `json:"o,omitempty"`
	Key              string       `json:"key,omitempty"`
	Attempt          string       `json:"a,omitempty"`
	Fingerprint      string       `json:"f,omitempty"`
	TimeUnixMS       int64        `json:"t"`
	Result           core.Result  `json:"r,omitempty"`
	Status           int          `json:"s,omitempty"`
	ResponseBody     []byte       `json:"b,omitempty"`
	ContentType      string       `json:"c,omitempty"`
	ResponseComplete bool         `json:"w,omitempty"`
}

func encode(b *journal.Batch) batch {
	out := batch{Seq: b.Seq, Owner: b.Owner, WriteID: b.WriteID, Records: make([]record, len(b.Records))}
	for i, r := range b.Records {
		out.Records[i] = record{Kind: r.Kind, Owner: r.Owner, Key: r.Key, Attempt: r.Attempt,
			Fingerprint: r.Fingerprint, TimeUnixMS: r.Time.UnixMilli(), Result: r.Result, Status: r.Status,
			ResponseBody: r.ResponseBody, ContentType: r.ContentType, ResponseComplete: r.ResponseComplete}
	}
	return out
}

func decode(value []byte) (*journal.Batch, error) {
	var in batch
	if err := json.Unmarshal(value, &in); err != nil {
		return nil, eris.Wrap(err, "decode journal slot")
	}
	out := &journal.Batch{Seq: in.Seq, Owner: in.Owner, WriteID: in.WriteID, Records: make([]journal.Record, len(in.Records))}
	for i, r := range in.Records {
		out.Records[i] = journal.Record{Kind: r.Kind, Owner: r.Owner, Key: r.Key, Attempt: r.Attempt,
			Fingerprint: r.Fingerprint, Time: time.UnixMilli(r.TimeUnixMS), Result: r.Result, Status: r.Status,
			ResponseBody: r.ResponseBody, ContentType: r.ContentType, ResponseComplete: r.ResponseComplete}
	}
	return out, nil
}
