/* Starts the interpreter with the signals held back that would end it.

   An interpreter takes a while to reach the first line of a program. A signal
   that comes earlier waits here until the daemon has its handlers; which ones
   these are is the same as in mustardloom/process_signals.py.

   LIBRARY is the path of the interpreter's library, INTERPRETER that of its
   program, from which it finds its modules. */

#include <dlfcn.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>

typedef int (*interpreter_main)(int argc, char **argv);

static const int held_signals[] = {
    SIGHUP, SIGINT,  SIGQUIT,   SIGUSR1, SIGUSR2, SIGALRM,
    SIGTERM, SIGVTALRM, SIGPROF, SIGIO,
#ifdef SIGSTKFLT
    SIGSTKFLT,
#endif
#ifdef SIGPWR
    SIGPWR,
#endif
};

static void hold_signals(void) {
  sigset_t held;
  size_t count = sizeof(held_signals) / sizeof(held_signals[0]);
  sigemptyset(&held);
  for (size_t index = 0; index < count; index++) {
    sigaddset(&held, held_signals[index]);
  }
  sigprocmask(SIG_BLOCK, &held, NULL);
}

int main(int argc, char **argv) {
  hold_signals();
  void *library = dlopen(LIBRARY, RTLD_NOW | RTLD_GLOBAL);
  if (library == NULL) {
    fprintf(stderr, "%s\n", dlerror());
    return 1;
  }
  interpreter_main run = (interpreter_main)dlsym(library, "Py_BytesMain");
  if (run == NULL) {
    fprintf(stderr, "%s\n", dlerror());
    return 1;
  }
  argv[0] = INTERPRETER;
  return run(argc, argv);
}
