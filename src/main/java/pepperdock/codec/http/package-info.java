/**
 * HTTP/1.1 as a codec: an incremental parser of requests and responses, and writers of both. Free of sockets, clocks and
 * threads: bytes go in as they arrive, messages come out, and malformed input ends in an
 * {@link pepperdock.codec.http.HttpException} that carries the status to answer with.
 */
package pepperdock.codec.http;
