
servers#