# CMake generated Testfile for 
# Source directory: /work/wt/relay
# Build directory: /work/wt/relay/target-lto
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
subdirs("tests")
