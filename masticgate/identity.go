package masticgate

import (
	"bytes"
	"strings"

	"masticladder/masticengine"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// minSearchedKeyBytes is the length of the shortest key that is searched for in requests to
// backend servers. Shorter keys would match ordinary text.
const minSearchedKeyBytes = 16

// identity is the profile and workspace that a request runs under. It holds the digest of the
// key, not the key itself.
type identity struct {
	digest    masticview.Digest
	profile   masticview.Profile
	workspace masticview.Workspace
}

// secret returns the key of the request, or an empty string if it has none.
func (q *inbound) secret() string {
	scheme, key, ok := strings.Cut(q.request.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// authenticate sets the identity of the request from its key. Without a view lease the request
// is refused.
func (q *inbound) authenticate() *masticerror.Error {
	secret := q.secret()
	if secret == "" {
		return masticerror.New(masticerror.KindUnauthenticated, "a key is needed: Authorization: Bearer KEY")
	}
	leased := q.gate.views.Leased(q.gate.now())
	v := q.gate.views.View()
	k, e := activeKey(v, masticview.DigestOf([]byte(secret)))
	if !leased {
		q.identity = refusalIdentity(k)
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

// activeKey returns the key with digest d, or an error if it is unknown or withdrawn.
func activeKey(v masticview.View, d masticview.Digest) (masticview.Key, *masticerror.Error) {
	k, ok := v.KeyByDigest(d)
	if !ok || k.State != masticview.KeyActive {
		return k, masticerror.New(masticerror.KindUnauthenticated, "the key is unknown or withdrawn")
	}
	return k, nil
}

// identify returns the identity for a key and a profile, by default the key's own. The profile
// has to belong to the key's workspace.
func identify(v masticview.View, k masticview.Key, profile string) (identity, *masticerror.Error) {
	if profile == "" {
		profile = k.Profile
	}
	p, ok := v.Profile(profile)
	if !ok || p.Workspace != k.Workspace {
		return refusalIdentity(k), masticerror.New(masticerror.KindForbidden, "the key's workspace has no such profile")
	}
	w, ok := v.Workspace(k.Workspace)
	if !ok {
		return refusalIdentity(k), masticerror.New(masticerror.KindForbidden, "the key's workspace is not configured")
	}
	return identity{digest: k.Digest, profile: p, workspace: w}, nil
}

// refusalIdentity returns an identity that holds only the workspace to which a refusal is counted.
func refusalIdentity(k masticview.Key) identity {
	return identity{profile: masticview.Profile{Workspace: k.Workspace}}
}

// recheck checks the lease and the key again before a dispatch, retry or resume: the newest
// profile has to allow the request.
func (g *Gate) recheck(i identity, allows func(masticview.Profile) bool) *masticerror.Error {
	if !g.views.Leased(g.now()) {
		return errNoLease()
	}
	return g.recheckKey(i, allows)
}

// recheckKey checks the key against the newest view, whether or not there is a lease.
func (g *Gate) recheckKey(i identity, allows func(masticview.Profile) bool) *masticerror.Error {
	v := g.views.View()
	k, e := activeKey(v, i.digest)
	if e != nil {
		return e
	}
	current, e := identify(v, k, i.profile.Name)
	if e == nil && !allows(current.profile) {
		return masticerror.New(masticerror.KindForbidden, "the profile no longer allows this")
	}
	return e
}

// accessCheck returns a function that returns an error once a newer view no longer allows a running
// model call.
func (g *Gate) accessCheck(i identity, allows func(masticview.Profile) bool) func() error {
	checkedRevision := g.views.View().Revision()
	return func() error {
		r := g.views.View().Revision()
		if r == checkedRevision {
			return nil
		}
		if e := g.recheckKey(i, allows); e != nil {
			return e
		}
		checkedRevision = r
		return nil
	}
}

// containsKey reports whether a part of the request that is forwarded to a backend server
// contains the caller's key.
func (q *inbound) containsKey(body []byte) bool {
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

func errContainsKey() *masticerror.Error {
	return masticerror.New(masticerror.KindBadRequest, "the key stands outside the Authorization header")
}
