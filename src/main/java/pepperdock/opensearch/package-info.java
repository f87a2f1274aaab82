/**
 * The OpenSearch-style query API, on both sides: {@link pepperdock.opensearch.SearchFront} takes searches, scrolls and
 * updates from clients, {@link pepperdock.opensearch.SearchBackend} sends the parts of a query to workers that speak
 * the same API. All state is owned by the I/O thread. The API's JSON is read and written here; the core sees query
 * requests and part answers only.
 */
package pepperdock.opensearch;
