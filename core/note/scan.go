package note

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"

	"verbenaway/core"
)

// maxKeys bounds the distinct keys of a document; the format defines fewer than 50. The decoder
// compares each key with all others of its table: it took 18 s for a document of 1 MB with
// 90,000 distinct keys, and a store reader can fold no other note meanwhile.
const maxKeys = 100

// checkKeys rejects a document with more than maxKeys distinct keys. Syntax errors are left to
// the decoder.
func checkKeys(data []byte) *Error {
	seen := map[string]bool{}
	var parser unstable.Parser
	parser.Reset(data)
	for parser.NextExpression() && len(seen) <= maxKeys {
		collectKeys(parser.Expression(), seen)
	}
	if len(seen) <= maxKeys {
		return nil
	}
	return &Error{
		Kind:        core.NoteField,
		Requirement: fmt.Sprintf("must have at most %d different keys", maxKeys),
	}
}

// collectKeys adds the keys of an expression to seen. The parser limits the recursion depth.
func collectKeys(node *unstable.Node, seen map[string]bool) {
	switch node.Kind {
	case unstable.KeyValue:
		addKeys(node, seen)
		collectKeys(node.Value(), seen)
	case unstable.Table, unstable.ArrayTable:
		addKeys(node, seen)
	case unstable.Array, unstable.InlineTable:
		for children := node.Children(); children.Next(); {
			collectKeys(children.Node(), seen)
		}
	default:
		// Scalars and comments have no keys.
	}
}

func addKeys(node *unstable.Node, seen map[string]bool) {
	for keys := node.Key(); keys.Next(); {
		seen[string(keys.Node().Data)] = true
	}
}
