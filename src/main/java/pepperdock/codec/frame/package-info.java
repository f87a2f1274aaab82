/**
 * The codec of length-prefixed frames: a big-endian length of four bytes, a type of one byte, and a payload. Shared by
 * the worker protocol, the members' transport and the store, which define the meaning of types and payloads.
 */
package pepperdock.codec.frame;
