/**
 * Entry points of the program.
 *
 * <p>{@link pepperdock.Main} picks the command: {@code serve} starts a gatherer ({@code pepperdock.service}), {@code drill}
 * runs the scheduler on the simulator's wire ({@code pepperdock.simulator}), everything else goes to the command line
 * ({@code pepperdock.cli}). {@link pepperdock.LogLine} formats log records; {@link pepperdock.ClassArchiveTraining} exercises
 * a gatherer once during the build, so that the class data sharing archive holds the classes that a start needs.
 */
package pepperdock;
