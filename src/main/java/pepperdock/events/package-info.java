/**
 * Machine-readable events of a gatherer, for checkers that evaluate several gatherers together. Unlike log lines,
 * events have stable names and keys, and each is written where it happens, in order.
 */
package pepperdock.events;
