/**
 * Operation of a running gatherer: the operators' HTTP calls, the workers that they ban, and the handover between the
 * two processes of an upgrade. {@link pepperdock.operator.OperatorService} is the entry point. State belongs to the
 * loop's thread; files are read, written and locked on the thread "operator".
 */
package pepperdock.operator;
