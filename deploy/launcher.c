/* Starts the interpreter with the signals held back that would end it.

   An interpreter takes a while to reach the first line of a program. A signal
   that comes earlier waits here until the daemon has its handlers; which ones
   these are is the same as in mustardloom/process_signals.py.

   INTERPRETER is the path of the interpreter's program, from which it finds its
   modules. LIBRARY is that of its shared library; without one the program is
   executed, which keeps the signals held. */

#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#ifdef LIBRARY
#include <dlfcn.h>
#else
#include <unistd.h>
#endif

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

#ifdef LIBRARY

typedef int (*interpreter_main)(int argc, char **argv);

static int run_interpreter(int argc, char **argv) {
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
  return run(argc, argv);
}

#else

static int run_interpreter(int argc, char **argv) {
  (void)argc;
  execv(INTERPRETER, argv);
  perror(INTERPRETER);
  return 1;
}

#endif

int main(int argc, char **argv) {
  hold_signals();
  argv[0] = INTERPRETER;
  return run_interpreter(argc, argv);
}
