// Package strict reads HTTP/1.1 responses and rejects invalid ones. The decoder, fasthttp,
// accepts some that RFC 9110 and RFC 9112 do not allow. For example, it returns the status 000
// as 200.
//
// These rules hold for the head of every response, informational ones included:
//
//   - The first line is a status line of HTTP/1.x with a status from 100 to 599.
//     A response with another status may be treated as a server error (RFC 9110,
//     section 15), but it is unlikely that the rest of it is right.
//   - Each line of the header is a name, a colon and a value, or continues the value of
//     the line before. The name is a token. If one client reads "Content Length" as a
//     length and another one does not, they see different responses.
//   - The reason phrase and the values contain no control characters except tabs.
//   - Only HTTP/1.1 has transfer encodings: with another version, fasthttp would take the
//     chunks for the body itself (RFC 9112, section 6.1).
//   - The head ends with CR LF CR LF. At an empty line without CR, fasthttp looks for
//     the end of the head in the body.
//
// The names of trailers are tokens too.
//
// Responses that the RFCs let a proxy correct or forward are accepted:
//
//   - several spaces in the status line, no reason phrase, a status without a name, such
//     as 299 or 499 (RFC 9112, section 4; RFC 9110, section 15)
//   - lines other than the last two that end with LF alone (RFC 9112, section 2.2)
//   - spaces between a name and the colon, which fasthttp removes (RFC 9112, section 5.1)
//   - values on several lines, which fasthttp joins (RFC 9112, section 5.2)
//   - tabs, and bytes of 128 and more, in values (RFC 9110, section 5.5)
//
// A response without a length or chunks ends with its connection. It is complete only if the
// request was written completely; see Body.
//
// A head is rejected at its first invalid line, without waiting for its end.
//
// # Usage
//
//	resp.StreamBody = true
//	if err := strict.Read(reader, resp, 0); err != nil {
//		_ = conn.Close() // what follows on the connection belongs to no request
//	}
//	...
//	_, err := io.Copy(w, strict.Body{Response: resp})
package strict
