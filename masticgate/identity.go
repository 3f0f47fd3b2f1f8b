package masticgate

import (
	"bytes"
	"strings"

	"masticladder/masticengine"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// minSearchedKeyBytes is the shortest key that is searched for in what goes to
// backend servers; shorter ones would be found in ordinary text.
const minSearchedKeyBytes = 16

// identity is who a request runs for. The key itself is not kept.
type identity struct {
	digest    masticview.Digest
	profile   masticview.Profile
	workspace masticview.Workspace
}

// secret returns the key that came with the request, or an empty string.
func (q *inbound) secret() string {
	scheme, key, ok := strings.Cut(q.request.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// authenticate finds out who the request runs for.
func (q *inbound) authenticate() *masticerror.Error {
	secret := q.secret()
	if secret == "" {
		return masticerror.New(masticerror.KindUnauthenticated, "a key is needed: Authorization: Bearer KEY")
	}
	leased := q.gate.views.Leased(q.gate.now())
	v := q.gate.views.View()
	k, e := activeKey(v, masticview.DigestOf([]byte(secret)))
	if !leased {
		q.identity = nobody(k)
		return errNoLease()
	}
	if e != nil {
		return e
	}
	q.identity, e = identify(v, k, q.request.Header.Get(HeaderProfile))
	return e
}

func errNoLease() *masticerror.Error {
	return masticerror.New(masticerror.KindNoLease, "this host's view lease has ended")
}

func activeKey(v masticview.View, d masticview.Digest) (masticview.Key, *masticerror.Error) {
	k, ok := v.KeyByDigest(d)
	if !ok || k.State != masticview.KeyActive {
		return k, masticerror.New(masticerror.KindUnauthenticated, "the key is unknown or withdrawn")
	}
	return k, nil
}

// identify chooses the profile; it has to belong to the key's workspace.
func identify(v masticview.View, k masticview.Key, profile string) (identity, *masticerror.Error) {
	if profile == "" {
		profile = k.Profile
	}
	p, ok := v.Profile(profile)
	if !ok || p.Workspace != k.Workspace {
		return nobody(k), masticerror.New(masticerror.KindForbidden, "the key's workspace has no such profile")
	}
	w, ok := v.Workspace(k.Workspace)
	if !ok {
		return nobody(k), masticerror.New(masticerror.KindForbidden, "the key's workspace is not configured")
	}
	return identity{digest: k.Digest, profile: p, workspace: w}, nil
}

// nobody returns an identity that only says whose refusal is counted.
func nobody(k masticview.Key) identity {
	return identity{profile: masticview.Profile{Workspace: k.Workspace}}
}

// recheck repeats the check of the key before a dispatch, retry or resume: the
// newest profile has to allow what is asked for.
func (g *Gate) recheck(i identity, allows func(masticview.Profile) bool) *masticerror.Error {
	if !g.views.Leased(g.now()) {
		return errNoLease()
	}
	return g.recheckKey(i, allows)
}

// recheckKey checks the key against the newest view, with or without a lease.
func (g *Gate) recheckKey(i identity, allows func(masticview.Profile) bool) *masticerror.Error {
	v := g.views.View()
	k, e := activeKey(v, i.digest)
	if e != nil {
		return e
	}
	now, e := identify(v, k, i.profile.Name)
	if e == nil && !allows(now.profile) {
		return masticerror.New(masticerror.KindForbidden, "the profile no longer allows this")
	}
	return e
}

// guard returns the check that a running model call is held against.
func (g *Gate) guard(i identity, allows func(masticview.Profile) bool) func() error {
	checked := g.views.View().Revision()
	return func() error {
		r := g.views.View().Revision()
		if r == checked {
			return nil
		}
		if e := g.recheckKey(i, allows); e != nil {
			return e
		}
		checked = r
		return nil
	}
}

// holdsKey reports whether a part of the request that goes to a backend server
// contains the caller's key.
func (q *inbound) holdsKey(body []byte) bool {
	secret := q.secret()
	if len(secret) < minSearchedKeyBytes {
		return false
	}
	if bytes.Contains(body, []byte(secret)) || strings.Contains(q.request.URL.RequestURI(), secret) {
		return true
	}
	for _, values := range masticengine.ForwardedHeader(q.request.Header) {
		for _, v := range values {
			if strings.Contains(v, secret) {
				return true
			}
		}
	}
	return false
}

func errHoldsKey() *masticerror.Error {
	return masticerror.New(masticerror.KindBadRequest, "the key stands outside the Authorization header")
}
