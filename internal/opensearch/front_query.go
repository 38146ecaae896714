package opensearch

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/overload"
	"harepass/internal/decide/retry"
	"harepass/internal/http1"
)

// A search and a document go through the same steps: check the head of the request, ask the coordinator to admit it,
// parse the body, execute the query. Admission comes before parsing the body, so that shedding load is cheap.

// Error reasons of a failed query. They promise nothing about what was executed.
const (
	searchFailedReason   = "too few sections answered in time"
	documentFailedReason = "the report may or may not be stored"
)

// search answers a search of an index.
func (f *Front) search(r *apiRequest, index string) (*http1.Message, error) {
	if err := r.checkMethod(http.MethodGet, http.MethodPost); err != nil {
		return nil, err
	}
	ix, tenant, err := f.indexAndTenant(r, index)
	if err != nil {
		return nil, err
	}
	if ix.TakesDocuments {
		return nil, badRequestf(typeIllegalArgument, "index [%s] takes reports and is not searched", index)
	}
	if err := r.checkParams(searchParams, ignoredSearchParams); err != nil {
		return nil, err
	}
	if err := f.admit(overload.Arrival{Class: ix.Class, Tenant: tenant}); err != nil {
		return nil, err
	}
	s, err := parseBody(f, r.Body, func() (*search, error) { return f.config().parseSearch(ix, r.params, r.Body) })
	if err != nil {
		return nil, err
	}
	r.Body = nil // the search has what is needed of it, and may wait for long
	startedAt := f.Clock()
	q := f.newQuery(r, ix, tenant, s.timeout)
	q.RequireComplete, q.Body, q.Origin = !s.partialAllowed, s.body, s
	if ix.TwoPhase != nil {
		q.Index, q.EmptyValue, q.Cacheable = ix.name, emptyHits, s.cacheable
	}
	q.Parts = ix.parts(s.shards)
	if len(q.Parts) == 0 { // no shard can match
		return searchReply(s, q, core.Answer{Complete: true}, 0), nil
	}
	a, err := f.execute(q, r.clientLeft, searchFailedReason)
	if err != nil {
		return nil, err
	}
	return searchReply(s, q, a, f.Clock()-startedAt), nil
}

// storeDocument answers a request that stores a document, under an id that the front assigns (INDEX/_doc, POST only) or
// under the client's own.
func (f *Front) storeDocument(r *apiRequest) (*http1.Message, error) {
	allowed := []string{http.MethodPost, http.MethodPut}
	if len(r.path) == 2 {
		allowed = allowed[:1]
	}
	if err := r.checkMethod(allowed...); err != nil {
		return nil, err
	}
	index := r.path[0]
	ix, tenant, err := f.indexAndTenant(r, index)
	if err != nil {
		return nil, err
	}
	if !ix.TakesDocuments {
		return nil, badRequestf(typeIllegalArgument, "index [%s] takes no documents", index)
	}
	if err := r.checkParams(documentParams, ignoredDocumentParams); err != nil {
		return nil, err
	}
	if err := f.admit(overload.Arrival{Class: ix.Class, Tenant: tenant, Parts: 1}); err != nil {
		return nil, err
	}
	doc, err := parseBody(f, r.Body, func() (*document, error) {
		return f.config().parseDocument(ix, r.path, r.params, r.Body)
	})
	if err != nil {
		return nil, err
	}
	q := f.newQuery(r, ix, tenant, doc.timeout)
	if doc.id == "" {
		doc.id = q.ID
	}
	q.Body, q.Origin, q.Parts = doc.source, doc, []core.Part{{Shard: doc.shard, Weight: 1}}
	a, err := f.execute(q, r.clientLeft, documentFailedReason)
	if err != nil {
		return nil, err
	}
	return documentReply(doc, a), nil
}

// indexAndTenant returns the index with the given name, and the tenant of the request's client.
func (f *Front) indexAndTenant(r *apiRequest, index string) (ix *Index, tenant string, err error) {
	if tenant, err = f.tenant(r.Header); err != nil {
		return nil, "", err
	}
	if ix = f.config().Indices[index]; ix == nil {
		reason := fmt.Sprintf("no such index [%s]", index)
		return nil, "", &apiError{http.StatusNotFound, typeIndexNotFound, reason}
	}
	return ix, tenant, nil
}

// tenant returns the client's tenant in Config.ClientTenants, which names the client by the user of basic
// authentication or, without one, by the X-Opaque-Id header. This distinguishes clients; it does not prove who they
// are.
func (f *Front) tenant(h textproto.MIMEHeader) (string, error) {
	if len(f.config().ClientTenants) == 0 {
		return "", nil
	}
	client := h.Get(opaqueIDHeader)
	if auth, ok := strings.CutPrefix(h.Get(authorizationHeader), "Basic "); ok {
		if credentials, err := base64.StdEncoding.DecodeString(auth); err == nil {
			client, _, _ = strings.Cut(string(credentials), ":")
		}
	}
	tenant, known := f.config().ClientTenants[client]
	if !known {
		return "", &apiError{http.StatusForbidden, typeSecurity, fmt.Sprintf("no tenant for caller [%s]", client)}
	}
	return tenant, nil
}

// admit asks the coordinator to admit a query, and returns a rejectedError if it sheds the load.
func (f *Front) admit(a overload.Arrival) error {
	if admitted, retryAfter := f.Coordinator.Admit(a); !admitted {
		return &rejectedError{retryAfter}
	}
	return nil
}

// newQuery returns the core's query for an admitted request, without its body and parts. timeout is the client's own;
// if it is 0 or longer than the class's deadline, the class's deadline applies.
func (f *Front) newQuery(r *apiRequest, ix *Index, tenant string, timeout time.Duration) *core.Query {
	if timeout == 0 || timeout > ix.deadline {
		timeout = ix.deadline
	}
	return &core.Query{
		ID:              fmt.Sprintf("%016x", rand.Uint64()),
		Class:           ix.Class,
		Tenant:          tenant,
		Deadline:        f.Clock() - r.QueuedFor() + timeout,
		IdempotencyKeys: r.Header[retry.IdempotencyKeyHeader],
		Admitted:        true,
		ClientLeft:      r.ClientLeft,
	}
}

// parts returns one part for each of the shards, weighted by the shard's share of their total weight.
func (ix *Index) parts(shards []int) (parts []core.Part) {
	sum := 0.0
	for _, shard := range shards {
		sum += ix.weight(shard)
	}
	for _, shard := range shards {
		parts = append(parts, core.Part{Shard: shard, Weight: ix.weight(shard) / sum})
	}
	return parts
}

// execute has the coordinator execute a query, and returns its answer if it was served, else an error for the client.
// failedReason is the reason that the client gets if the query failed.
func (f *Front) execute(q *core.Query, clientLeft <-chan struct{}, failedReason string) (core.Answer, error) {
	switch a := f.Coordinator.Execute(q, clientLeft); a.Status {
	case core.Rejected:
		return core.Answer{}, &rejectedError{a.RetryAfter}
	case core.Invalid:
		return core.Answer{}, badRequestf(typeIllegalArgument, "%s", a.Reason)
	case core.Failed:
		return core.Answer{}, failedError(failedReason)
	default:
		return a, nil
	}
}
