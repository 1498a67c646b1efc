package route

import "verbenaway/core"

// KeyIndex finds the tenant that holds an API key. It is immutable.
type KeyIndex struct {
	tenants map[core.KeyDigest]core.TenantName
}

// NewKeyIndex indexes the keys of all tenants. It returns nil for a snapshot whose requests need no
// keys.
func NewKeyIndex(snapshot *core.Snapshot) *KeyIndex {
	if !snapshot.RequiresKeys() {
		return nil
	}
	count := 0
	for _, tenant := range snapshot.Tenants {
		count += len(tenant.Keys)
	}
	index := &KeyIndex{
		tenants: make(map[core.KeyDigest]core.TenantName, count),
	}
	for name, tenant := range snapshot.Tenants {
		for _, key := range tenant.Keys {
			index.tenants[key] = name
		}
	}
	return index
}

// Tenant returns the tenant that holds a key; ok is false if none does. The look-up by digest takes as
// long for a key that resembles a valid one as for any other.
func (i *KeyIndex) Tenant(key string) (name core.TenantName, ok bool) {
	return i.TenantOf(core.DigestKey(key))
}

// TenantOf returns the tenant that holds the key with a digest; ok is false if none does.
func (i *KeyIndex) TenantOf(digest core.KeyDigest) (name core.TenantName, ok bool) {
	name, ok = i.tenants[digest]
	return name, ok
}
