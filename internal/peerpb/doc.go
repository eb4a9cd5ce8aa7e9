// Package peerpb holds the generated messages, client and server of the service between entry instances.
//
// The code is generated from peer.proto and committed, so that the build needs no generator. To generate it again, run
// the following in this directory:
//
//	go install github.com/bufbuild/buf/cmd/buf@v1.75.0
//	go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
//	go install github.com/twitchtv/twirp/protoc-gen-twirp@v8.1.3+incompatible
//	buf generate
package peerpb
