#!/bin/sh
# Exit code 1: the rule was broken. 0: it held. 2: the case could not run, also after any error of the case.
node "$(dirname "$0")/case.mjs"
case $? in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
