package etcdgateway

// The types in this file are the JSON messages of the etcd v3 gateway. Keys and values are
// encoded in base64, which encoding/json does for []byte, and 64-bit numbers are strings.

type keyValueJSON struct {
	Key            []byte `json:"key,omitempty"`
	Value          []byte `json:"value,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
}

type headerJSON struct {
	Revision int64 `json:"revision,string,omitempty"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header headerJSON     `json:"header"`
	KVs    []keyValueJSON `json:"kvs"`
}

type compareJSON struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type requestOp struct {
	Put *putRequest `json:"request_put,omitempty"`
}

type txnRequest struct {
	Compare []compareJSON `json:"compare,omitempty"`
	Success []requestOp   `json:"success,omitempty"`
}

type txnResponse struct {
	Header    headerJSON `json:"header"`
	Succeeded bool       `json:"succeeded"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchEvent struct {
	Type string       `json:"type,omitempty"`
	KV   keyValueJSON `json:"kv"`
}

type watchResult struct {
	Header          headerJSON   `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,string,omitempty"`
	Events          []watchEvent `json:"events,omitempty"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}
