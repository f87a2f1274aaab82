/**
 * The gatherer as a process: {@link pepperdock.service.Startup} opens what it needs, {@link
 * pepperdock.service.GathererService} connects the parts that the configuration names, and signals reload the
 * configuration or drain the process. State belongs to the loop's thread; a configuration file is read on the thread
 * "reload".
 */
package pepperdock.service;
