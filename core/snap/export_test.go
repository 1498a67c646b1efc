package snap

// ChainHash lets tests forge slices with a valid chain hash.
var ChainHash = chainHash
