/**
 * One gatherer between real processes on loopback, with a share of a core, beside clients that send at full speed, write
 * slowly or stop half way: {@link pepperdock.faultinjection.overload.OverloadRun} plays one plan and holds it against the
 * rules on answers, attempts and memory.
 */
package pepperdock.faultinjection.overload;
