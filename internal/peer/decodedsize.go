package peer

import (
	"path"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"

	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
)

const (
	// entryBytes is what an embedded message takes when it is decoded, besides its fields: the largest has
	// some 200 bytes, and its list grows by copying.
	entryBytes = 384
	// textBytes and numberBytes are what a text and a number of a list take besides their bytes.
	textBytes   = 32
	numberBytes = 16
)

// DecodedBytes returns about how many bytes a call of a host takes when it is decoded, without those of its
// texts. Entries of two bytes take a hundred times as many. The call has the path urlPath; an unknown one takes none.
func DecodedBytes(urlPath string, message []byte) int64 {
	method := wire.File_internal_peer_wire_peer_proto.Services().ByName("Peer").Methods().ByName(protoreflect.Name(path.Base(urlPath)))
	if method == nil {
		return 0
	}
	return decodedBytes(message, method.Input().Fields())
}

func decodedBytes(message []byte, fields protoreflect.FieldDescriptors) (n int64) {
	for len(message) > 0 {
		number, kind, length := protowire.ConsumeTag(message)
		if length < 0 {
			return n // The call is refused when it is decoded.
		}
		message = message[length:]
		if length = protowire.ConsumeFieldValue(number, kind, message); length < 0 {
			return n
		}
		field := fields.ByNumber(number)
		switch {
		case kind != protowire.BytesType || field == nil:
			n += numberBytes
		case field.Message() != nil:
			content, _ := protowire.ConsumeBytes(message)
			n += entryBytes + decodedBytes(content, field.Message().Fields())
		case field.Kind() == protoreflect.StringKind || field.Kind() == protoreflect.BytesKind:
			n += textBytes
		default: // A list of numbers has at least a byte for each.
			n += int64(length) * numberBytes
		}
		message = message[length:]
	}
	return n
}
