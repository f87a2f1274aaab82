/**
 * The HTTP/1.1 codec: an incremental parser of requests and responses, and an encoder of both. It uses no sockets,
 * clocks or threads: it accepts bytes as they arrive and returns messages. Malformed input is reported as an
 * {@link pepperdock.codec.http.HttpException} that carries the status to answer with.
 */
package pepperdock.codec.http;
