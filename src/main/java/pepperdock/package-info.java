/**
 * Entry points of the program.
 *
 * <p>{@link pepperdock.Main} selects the command: {@code serve} starts a gatherer ({@code pepperdock.service}), {@code
 * drill} runs the scheduler on the simulator's protocol ({@code pepperdock.simulator}), {@code rehearse} runs {@link
 * pepperdock.ClassArchiveTraining}, and all other commands go to the command line ({@code pepperdock.cli}). {@link
 * pepperdock.LogLine} formats log records. {@link pepperdock.ClassArchiveTraining} runs a gatherer once during the
 * build, so that the class data sharing archive contains the classes that a start needs.
 */
package pepperdock;
