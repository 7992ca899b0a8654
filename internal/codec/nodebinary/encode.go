package nodebinary

import "encoding/binary"

// Append appends the encoding of m to dst. It leaves out empty parameters, a negative Cause, and the Description unless
// HasDescription is set. For a message longer than MaxMessageBytes it returns dst unchanged and a *SizeError.
func Append(dst []byte, m *Message) ([]byte, error) {
	start := len(dst)
	dst = append(dst, 0, 0, byte(m.Type)) // the length is filled in below
	dst = binary.BigEndian.AppendUint64(dst, m.Task)
	for _, parameter := range [...]struct {
		code byte
		text string
	}{
		{codeClass, m.Class}, {codeTimeLeft, m.TimeLeft}, {codeKey, m.Key}, {codeToken, m.Token}, {codeValue, m.Value},
		{codeIdempotencyKey, m.IdempotencyKey},
	} {
		if parameter.text != "" {
			dst = appendText(dst, parameter.code, parameter.text)
		}
	}
	if m.Cause >= 0 {
		dst = append(dst, codeCause, 0, 1, byte(m.Cause))
	}
	if m.HasDescription {
		dst = appendText(dst, codeDescription, m.Description)
	}
	size := len(dst) - start
	if size > MaxMessageBytes {
		return dst[:start], &SizeError{Type: m.Type, Bytes: size, Limit: MaxMessageBytes}
	}
	binary.BigEndian.PutUint16(dst[start:], uint16(size-lengthSize))
	return dst, nil
}

func appendText(dst []byte, code byte, text string) []byte {
	dst = append(dst, code, byte(len(text)>>8), byte(len(text)))
	return append(dst, text...)
}
