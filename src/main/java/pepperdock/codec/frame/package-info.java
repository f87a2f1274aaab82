/**
 * The codec of length-prefixed frames: a big-endian length of four bytes, a type of one byte, and a payload. Shared by the
 * workers' protocol, the members' transport and the store; what types and payloads mean is theirs.
 */
package pepperdock.codec.frame;
