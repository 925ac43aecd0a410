
servers